"""Runs steps of a call so that a failing one does not skip the others."""

import contextlib
from collections.abc import Callable
from typing import Any

import structlog

log = structlog.get_logger("banyantiller.proxy")


def run(step: Callable[..., Any], *arguments: Any) -> bool:
    """Runs a step; logs and suppresses its exceptions.

    Returns:
        Whether the step succeeded.
    """
    try:
        step(*arguments)
    except Exception:
        # Logging itself may be what fails.
        with contextlib.suppress(Exception):
            log.exception(
                "proxy: step of a call failed.", step=step.__qualname__
            )
        return False
    return True
