"""Rules by which one finished call shows that a promise was broken."""

from typing import NamedTuple

from banyantiller.errors import ERROR_RESPONSES, ErrorKind, Ran
from banyantiller.evidence.promises import Promise
from banyantiller.kernel.events import CallFinished

CALLER_FAULTS = frozenset(
    kind
    for kind, answer in ERROR_RESPONSES.items()
    if answer.proxy_error == "http_request_error"
) | {ErrorKind.CALLER_GONE}


class Breach(NamedTuple):
    """A promise that a call shows to be broken.

    Attributes:
        promise: The promise.
        detail: One sentence.
    """

    promise: Promise
    detail: str


class Leaving(NamedTuple):
    """State of leaving around a call.

    Attributes:
        daemon: Whether this daemon was draining when the call ended.
        since_s: Time since the call's server was learned to be leaving, at
            the start of the try that was answered; None if it is not leaving.
        allowed_s: Time within which new requests may still reach it.
    """

    daemon: bool = False
    since_s: float | None = None
    allowed_s: float = 0.0


def breaches(event: CallFinished, leaving: Leaving) -> list[Breach]:
    """Lists the promises that a call shows to be broken."""
    found = [
        _at_most_once(event),
        _not_run(event),
        _whole_answer(event),
        _shutdown(event, leaving),
        _leaving_server(event, leaving),
    ]
    return [breach for breach in found if breach is not None]


def tries_that_may_have_run(event: CallFinished) -> int:
    """Counts tries that wrote bytes and were not refused as not run."""
    shed = event.shed
    if event.error is ErrorKind.BACKEND_SHED:
        shed = max(shed, 1)
    return max(0, event.attempts - shed)


def _at_most_once(event: CallFinished) -> Breach | None:
    tries = tries_that_may_have_run(event)
    if event.idempotent or tries <= 1:
        return None
    return Breach(
        Promise.AT_MOST_ONCE,
        f"A non-idempotent request was sent {tries} times.",
    )


def _not_run(event: CallFinished) -> Breach | None:
    if event.told is not Ran.NO or not tries_that_may_have_run(event):
        return None
    return Breach(
        Promise.NOT_RUN_IS_NOT_RUN,
        f"The caller was told 'not run' ({event.error}) after bytes were sent.",
    )


def _was_cut(event: CallFinished) -> bool:
    return event.cut and event.error not in CALLER_FAULTS


def _whole_answer(event: CallFinished) -> Breach | None:
    if not _was_cut(event):
        return None
    return Breach(
        Promise.WHOLE_OWN_ANSWER,
        f"The answer of '{event.server}' ended before it was whole.",
    )


def _shutdown(event: CallFinished, leaving: Leaving) -> Breach | None:
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


def _leaving_server(event: CallFinished, leaving: Leaving) -> Breach | None:
    if leaving.since_s is None or leaving.since_s <= leaving.allowed_s:
        return None
    return Breach(
        Promise.LEAVING_SERVER_SPARED,
        f"'{event.server}' got a request {leaving.since_s:.1f} s after it"
        " was known to be leaving.",
    )
