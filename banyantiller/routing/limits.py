"""Concurrency limits that adapt to the load which servers report.

Each server gets at most one attempt of this daemon more than it has slots,
which keeps it busy while a response is on its way. A window limits the
attempts at all servers of the service together. It shrinks when servers report
a backlog or shed requests and grows otherwise, but never shrinks below the
daemon's equal share of all slots.
"""

from banyantiller.routing.tuning import Tuning
from banyantiller.routing.views import ServerView

EXTRA_ATTEMPTS_PER_SERVER = 1
BACKLOG_DECREASE = 0.95
SHED_DECREASE = 0.8
WINDOW_INCREASE = 0.1
# Maximum backoff after `Retry-After`. A server that starts again keeps its name
# and can't withdraw what it asked for.
MAX_BACKOFF_S = 60.0


class ConcurrencyWindow:
    """Limits this daemon's concurrent attempts at all servers of a service.

    Attributes:
        size: The limit.
        slots: Requests that all usable servers run at once.
        max_size: Largest size, including the extra attempts of each server.
        live_daemons: Number of daemons considered alive.
    """

    def __init__(self) -> None:
        self.size = 1.0
        self.slots = 0
        self.max_size = 1.0
        self.live_daemons = 1

    def configure(self, slots: int, servers: int) -> None:
        """Sets the number of all slots; opens the window if it grew."""
        self.max_size = max(
            1.0, float(slots + EXTRA_ATTEMPTS_PER_SERVER * servers)
        )
        if slots > self.slots:
            self.size = self.max_size
        self.slots = slots
        self.size = min(self.size, self.max_size)

    def min_size(self) -> float:
        """Returns this daemon's equal share of the slots, at least one."""
        return max(1.0, self.slots / max(self.live_daemons, 1))

    def record_load(self, in_flight: float, slots: int, tuning: Tuning) -> None:
        """Adjusts the window to the load that a response reported."""
        if in_flight >= tuning.backlog_threshold * slots:
            self._decrease(BACKLOG_DECREASE)
        else:
            self.size = min(self.max_size, self.size + WINDOW_INCREASE)

    def record_shed(self) -> None:
        """Shrinks the window after a server shed an attempt."""
        self._decrease(SHED_DECREASE)

    def _decrease(self, factor: float) -> None:
        self.size = max(self.min_size(), self.size * factor)


def back_off(
    view: ServerView,
    retry_after_s: float | None,
    service_time_s: float,
    now: float,
) -> None:
    """Sends nothing to a server for a while after it shed an attempt.

    Args:
        view: The server.
        retry_after_s: `Retry-After` of the response, or None.
        service_time_s: Average time of one request.
        now: The loop's time.
    """
    wait = service_time_s if retry_after_s is None else retry_after_s
    until = now + min(wait, MAX_BACKOFF_S)
    view.backoff_until = max(view.backoff_until, until)
    view.update_availability()
