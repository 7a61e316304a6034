"""Replays a trace of any core."""

import importlib

from banyantiller.replay import traces

MOST_BYTES = 70_000_000
PLAYERS = {
    "dispatcher": "banyantiller.replay.dispatcher_player",
    "replica": "banyantiller.replay.replica_player",
    "claims": "banyantiller.replay.claims_player",
    "rolls": "banyantiller.replay.rolls_player",
    "selector": "banyantiller.replay.selector_player",
}


def read(path: str) -> str:
    """Reads a trace file of bounded size.

    Raises:
        TraceError: The file cannot be read or is too large.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as error:
        raise traces.TraceError(
            f"{path} cannot be read: {error.strerror}."
        ) from error
    if len(data) > MOST_BYTES:
        raise traces.TraceError(f"{path} is larger than {MOST_BYTES} bytes.")
    return data.decode("utf-8", "replace")


def play(text: str) -> tuple[traces.Result, ...]:
    """Replays a trace against the real code and checks its outcomes.

    Args:
        text: The whole trace.

    Raises:
        TraceError: The trace is not of the documented form, or states no
            outcome.
    """
    trace = traces.parse(text)
    if not trace.expected:
        raise traces.TraceError("The trace states no outcome.")
    return importlib.import_module(PLAYERS[trace.core]).play(trace)
