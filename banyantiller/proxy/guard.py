"""Runs steps of a call's end so that one failing step skips no other."""

import contextlib
from collections.abc import Callable
from typing import Any

import structlog

log = structlog.get_logger("banyantiller.proxy")


def run(step: Callable[..., Any], *arguments: Any) -> bool:
    """Runs a step; a failure is logged and not passed on.

    Returns:
        Whether the step succeeded.
    """
    try:
        step(*arguments)
    except Exception:
        # The log itself may be what fails.
        with contextlib.suppress(Exception):
            log.exception("proxy: a step failed.", step=step.__qualname__)
        return False
    return True
