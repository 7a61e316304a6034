"""Cold start: a server that is new to a service gets its share by degrees."""

from banyantiller.routing.tuning import Tuning
from banyantiller.routing.views import ServerView


def begin(view: ServerView, now: float) -> None:
    """Starts the ramp of a new server."""
    view.warm_from = now
    view.watched = True


def factor(view: ServerView, tuning: Tuning, now: float) -> float:
    """Returns how many times slower a server is taken to be, down to 1."""
    age = now - view.warm_from
    if age >= tuning.ramp_s or "ramp" in tuning.off:
        return 1.0
    left = 1.0 - max(age, 0.0) / tuning.ramp_s
    return 1.0 + (tuning.ramp_factor - 1.0) * left
