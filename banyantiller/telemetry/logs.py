"""Structured logs of the daemon and the command-line tool."""

import logging
import sys
from typing import Any, TextIO

import structlog

from banyantiller.config import defaults

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure(
    settings: defaults.LogSettings, stream: TextIO | None = None, **bound: Any
) -> None:
    """Sets up `structlog` for the whole process.

    Args:
        settings: Level and format of the lines.
        stream: Output stream; standard error by default.
        **bound: Fields added to each line, such as the daemon's name.
    """
    out = stream or sys.stderr
    renderer: Any = structlog.processors.JSONRenderer()
    if settings.format == "text":
        renderer = structlog.dev.ConsoleRenderer(colors=False)

    def add_bound(_: Any, __: str, line: dict[str, Any]) -> dict[str, Any]:
        return {**bound, **line}

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            add_bound,
            structlog.processors.dict_tracebacks
            if settings.format == "json"
            else structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            LEVELS[settings.level]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=out),
        cache_logger_on_first_use=False,
    )
