"""Limits of what this daemon sends at once, adapted to what servers take.

On one server the daemon has at most one try more than that has slots, which
keeps it busy while an answer travels. Over all servers of the service it
has a window, which shrinks while servers say that they have a backlog or
shed, and grows while they do not. It never shrinks below the daemon's even
part of all slots.
"""

from banyantiller.routing.tuning import Tuning
from banyantiller.routing.views import ServerView

SPARE = 1
SHRINK = 0.95
SHED_SHRINK = 0.8
GROWTH = 0.1
LONGEST_HOLD_S = 5.0


class Window:
    """Most tries of this daemon at once over all servers.

    Attributes:
        size: The limit.
        slots: Requests that all usable servers run at once.
        most: Largest size, with the spare tries.
        alive: Number of daemons believed alive.
    """

    def __init__(self) -> None:
        self.size = 1.0
        self.slots = 0
        self.most = 1.0
        self.alive = 1

    def configure(self, slots: int, servers: int) -> None:
        """Takes the number of all slots; opens the window if they grew."""
        self.most = max(1.0, float(slots + SPARE * servers))
        if slots > self.slots:
            self.size = self.most
        self.slots = slots
        self.size = min(self.size, self.most)

    def least(self) -> float:
        """Returns the even part of this daemon, at least one try."""
        return max(1.0, self.slots / max(self.alive, 1))

    def learn(self, in_flight: float, slots: int, tuning: Tuning) -> None:
        """Takes the load that a server told on an answer."""
        if in_flight >= tuning.backlog_at * slots:
            self._shrink(SHRINK)
        else:
            self.size = min(self.most, self.size + GROWTH)

    def shed(self) -> None:
        """Takes that a server shed a try."""
        self._shrink(SHED_SHRINK)

    def _shrink(self, factor: float) -> None:
        self.size = max(self.least(), self.size * factor)


def hold(
    view: ServerView, retry_after_s: float | None, usual_s: float, now: float
) -> None:
    """Holds a server that shed a try.

    Args:
        view: The server.
        retry_after_s: What it asked for, or None.
        usual_s: Usual time of one request.
        now: The loop's time.
    """
    wait = usual_s if retry_after_s is None else retry_after_s
    until = now + min(wait, LONGEST_HOLD_S)
    view.held_until = max(view.held_until, until)
    view.update_closed()
