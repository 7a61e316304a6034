"""Slow start: a server that is new to a service gets its share gradually.

A new server is treated as slower than it is, less so as it gets older.
"""

from banyantiller.routing.tuning import Tuning
from banyantiller.routing.views import ServerView


def start(view: ServerView, now: float) -> None:
    """Starts the ramp of a new server."""
    view.ramp_started_at = now
    view.possibly_slow = True


def cold_start_factor(view: ServerView, tuning: Tuning, now: float) -> float:
    """Returns the assumed slowdown of a new server, which falls to 1."""
    age = now - view.ramp_started_at
    if age >= tuning.ramp_s or "ramp" in tuning.disabled:
        return 1.0
    remaining = 1.0 - max(age, 0.0) / tuning.ramp_s
    return 1.0 + (tuning.ramp_factor - 1.0) * remaining
