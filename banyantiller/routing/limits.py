"""Limits of what this daemon sends at once, adapted to what servers take.

On one server the daemon has at most one try more than that has slots, which
keeps it busy while an answer travels. Over all servers of the service it
has a window, which shrinks while servers say that they have a backlog or
shed, and grows while they do not. It never shrinks below the daemon's even
part of all slots.
"""

from banyantiller.routing.tuning import Tuning
from banyantiller.routing.views import ServerView

EXTRA_ATTEMPTS_PER_SERVER = 1
BACKLOG_DECREASE = 0.95
SHED_DECREASE = 0.8
WINDOW_INCREASE = 0.1
MAX_BACKOFF_S = 5.0


class ConcurrencyWindow:
    """Most tries of this daemon at once over all servers.

    Attributes:
        size: The limit.
        slots: Requests that all usable servers run at once.
        max_size: Largest size, with the spare tries.
        live_daemons: Number of daemons believed alive.
    """

    def __init__(self) -> None:
        self.size = 1.0
        self.slots = 0
        self.max_size = 1.0
        self.live_daemons = 1

    def configure(self, slots: int, servers: int) -> None:
        """Takes the number of all slots; opens the window if they grew."""
        self.max_size = max(
            1.0, float(slots + EXTRA_ATTEMPTS_PER_SERVER * servers)
        )
        if slots > self.slots:
            self.size = self.max_size
        self.slots = slots
        self.size = min(self.size, self.max_size)

    def min_size(self) -> float:
        """Returns the even part of this daemon, at least one try."""
        return max(1.0, self.slots / max(self.live_daemons, 1))

    def record_load(self, in_flight: float, slots: int, tuning: Tuning) -> None:
        """Takes the load that a server told on an answer."""
        if in_flight >= tuning.backlog_threshold * slots:
            self._decrease(BACKLOG_DECREASE)
        else:
            self.size = min(self.max_size, self.size + WINDOW_INCREASE)

    def record_shed(self) -> None:
        """Takes that a server shed a try."""
        self._decrease(SHED_DECREASE)

    def _decrease(self, factor: float) -> None:
        self.size = max(self.min_size(), self.size * factor)


def back_off(
    view: ServerView,
    retry_after_s: float | None,
    service_time_s: float,
    now: float,
) -> None:
    """Holds a server that shed a try.

    Args:
        view: The server.
        retry_after_s: What it asked for, or None.
        service_time_s: Usual time of one request.
        now: The loop's time.
    """
    wait = service_time_s if retry_after_s is None else retry_after_s
    until = now + min(wait, MAX_BACKOFF_S)
    view.backoff_until = max(view.backoff_until, until)
    view.update_availability()
