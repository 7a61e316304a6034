"""Rules that find broken promises in a single finished call."""

from typing import NamedTuple

from banyantiller.errors import ANSWERS, ErrorKind, Ran
from banyantiller.evidence.promises import Promise
from banyantiller.kernel.events import CallFinished

CALLER_FAULTS = frozenset(
    kind
    for kind, answer in ANSWERS.items()
    if answer.proxy_error == "http_request_error"
) | {ErrorKind.CALLER_GONE}


class Breach(NamedTuple):
    """A promise that a call shows to be broken.

    Attributes:
        promise: The promise.
        detail: Description in one sentence.
    """

    promise: Promise
    detail: str


class LeavingState(NamedTuple):
    """Shutdown state of the daemon and the server at the end of a call.

    Attributes:
        daemon: Whether this daemon was draining when the call ended.
        since_s: Seconds from when the call's server was found leaving to the
            start of the attempt that was answered; None if the server is
            not leaving.
        allowed_s: Seconds for which new requests may still reach the server.
    """

    daemon: bool = False
    since_s: float | None = None
    allowed_s: float = 0.0


def find_breaches(event: CallFinished, leaving: LeavingState) -> list[Breach]:
    """Lists the promises that a call shows to be broken."""
    found = [
        _repeated_run(event),
        _not_run_although_sent(event),
        _incomplete_answer(event),
        _cut_by_shutdown(event, leaving),
        _sent_to_leaving_server(event, leaving),
    ]
    return [breach for breach in found if breach is not None]


def count_attempts_possibly_run(event: CallFinished) -> int:
    """Counts attempts that wrote bytes and were not rejected as not run."""
    shed = event.shed
    if event.error is ErrorKind.BACKEND_SHED:
        shed = max(shed, 1)
    return max(0, event.attempts - shed)


def _repeated_run(event: CallFinished) -> Breach | None:
    attempts = count_attempts_possibly_run(event)
    if event.idempotent or attempts <= 1:
        return None
    return Breach(
        Promise.AT_MOST_ONCE,
        f"A non-idempotent request was sent {attempts} times.",
    )


def _not_run_although_sent(event: CallFinished) -> Breach | None:
    if event.told is not Ran.NO or not count_attempts_possibly_run(event):
        return None
    return Breach(
        Promise.NOT_RUN_IS_NOT_RUN,
        f"The caller was told 'not run' ({event.error}) after bytes were sent.",
    )


def _was_cut(event: CallFinished) -> bool:
    return event.cut and event.error not in CALLER_FAULTS


def _incomplete_answer(event: CallFinished) -> Breach | None:
    if not _was_cut(event):
        return None
    return Breach(
        Promise.WHOLE_OWN_ANSWER,
        f"The answer of '{event.server}' ended before it was whole.",
    )


def _cut_by_shutdown(
    event: CallFinished, leaving: LeavingState
) -> Breach | None:
    if not _was_cut(event):
        return None
    if leaving.daemon:
        return Breach(
            Promise.SHUTDOWN_CUTS_NOTHING,
            "The answer was cut while this daemon was draining.",
        )
    if leaving.since_s is None:
        return None
    return Breach(
        Promise.SHUTDOWN_CUTS_NOTHING,
        f"The answer was cut while '{event.server}' was leaving.",
    )


def _sent_to_leaving_server(
    event: CallFinished, leaving: LeavingState
) -> Breach | None:
    if leaving.since_s is None or leaving.since_s <= leaving.allowed_s:
        return None
    return Breach(
        Promise.LEAVING_SERVER_SPARED,
        f"'{event.server}' got a request {leaving.since_s:.1f} s after it"
        " was known to be leaving.",
    )
