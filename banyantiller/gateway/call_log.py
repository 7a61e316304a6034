"""Writes the line on a finished call to the gateway's log."""

import math

from banyantiller.errors import ErrorKind
from banyantiller.gateway import call as calls
from banyantiller.gateway import call_events, events


def log_call(
    call: calls.Call,
    status: int,
    error: ErrorKind | None,
    duration_s: float,
    document_age_s: float,
) -> None:
    """Writes the line on a call.

    Args:
        call: The call.
        status: Status of its response, or 0 if the caller had disconnected.
        error: Kind of its error, or None.
        duration_s: Its duration, in seconds.
        document_age_s: Time since the store confirmed the document, in seconds;
            infinite before the first one.
    """
    progress = call.progress
    route = call.route
    ended = call_events.CallEnded(
        id=call.request.request_id,
        route=route.name if route is not None else "",
        service=call.service,
        organisation=call.organisation.name if call.organisation else "",
        version=call.version,
        known_ms=_rounded_ms(document_age_s),
        status=status,
        error=error,
        decision=progress.decision,
        returned=call.returned,
        reason=progress.reason,
        maybe_ran=progress.maybe_ran,
        sends=progress.sends,
        instances=progress.instances,
        peers=progress.peers,
        forwarded_by=call.forwarded_by,
        among=progress.answered_count,
        load=progress.load and list(progress.load),
        load_age_ms=round(progress.load_age_s * 1000, 1),
        sent_ms=round(progress.sent_after_s * 1000, 1),
        took_ms=round(duration_s * 1000, 1),
        usual_ms=round(progress.usual_s * 1000, 1),
        objective_ms=route and round(route.objective_s * 1000, 1),
        left_ms=round((call.deadline - call.loop.time()) * 1000, 1),
        fingerprint=call.request.fingerprint,
    )
    events.emit(ended)


def _rounded_ms(age_s: float) -> float | None:
    """Returns a time in ms for the log; None if it is infinite."""
    return round(age_s * 1000, 1) if math.isfinite(age_s) else None
