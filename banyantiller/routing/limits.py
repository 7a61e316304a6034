"""Limits of own tries at once on a server, adapted to what it can take."""

from banyantiller.routing.tuning import Tuning
from banyantiller.routing.views import ServerView

LEAST = 1.0
WITHOUT = 10
SHED_FACTOR = 0.5
RISE = 0.1
LONGEST_HOLD_S = 5.0


def first(slots: int, tuning: Tuning) -> float:
    """Returns the limit of a server about which nothing is known."""
    return float(slots * WITHOUT if "limits" in tuning.off else slots)


def answered(view: ServerView) -> None:
    """Raises the limit by degrees while answers come."""
    if view.limit < view.slots:
        view.limit = min(view.slots, view.limit + RISE)


def shed(
    view: ServerView, retry_after_s: float | None, usual_s: float, now: float
) -> None:
    """Lowers the limit and holds the server for a while.

    Args:
        view: The server.
        retry_after_s: What it asked for, or None.
        usual_s: Usual time of one request.
        now: The loop's time.
    """
    view.limit = max(LEAST, view.limit * SHED_FACTOR)
    wait = usual_s if retry_after_s is None else retry_after_s
    view.held_until = max(view.held_until, now + min(wait, LONGEST_HOLD_S))
    view.update_closed()


def full(ahead: float, slots: int, tuning: Tuning) -> bool:
    """Tells whether a call should rather wait here than on the server."""
    return "holding" not in tuning.off and ahead >= tuning.hold_at * slots
