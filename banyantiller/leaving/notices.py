"""One fact about a server, who said it, and when to tell it to the peers."""

import dataclasses
import math

PUBLISH_REPEATS = 4
REMINDER_PERIOD_S = 5.0
PEER_NOTICE_TTL_S = 6 * REMINDER_PERIOD_S


@dataclasses.dataclass(slots=True)
class Notice:
    """A reason to leave a server alone that daemons tell each other.

    What this daemon knows first-hand holds until it ends here. What a peer
    told holds while it is told again.

    Attributes:
        since: When it was said first, or None while it doesn't hold.
        is_direct: Whether this daemon knows it without its peers.
        received_at: When a peer told it last.
        forwarded_at: When that was passed on last.
        publish_at: When to tell it next.
        publish_count: Times that it was told.
    """

    since: float | None = None
    is_direct: bool = False
    received_at: float = -math.inf
    forwarded_at: float = -math.inf
    publish_at: float = math.inf
    publish_count: int = 0

    def is_active(self) -> bool:
        """Tells whether it is a reason now."""
        return self.since is not None

    def learn(self, now: float) -> None:
        """This daemon learned it first-hand."""
        if self.is_direct:
            return
        self.since = now
        self.is_direct = True
        self.publish_count = 0
        self.publish_at = now

    def receive(self, learned_at: float, now: float) -> None:
        """A peer told it, or told it again."""
        if self.is_direct:
            return
        if now - self.forwarded_at >= REMINDER_PERIOD_S / 2:
            self.forwarded_at = now
            self.publish_at = now
        self.received_at = now
        if not self.is_active():
            self.since = learned_at
            self.publish_count = 0

    def clear(self) -> None:
        """It holds no longer."""
        self.since = None
        self.is_direct = False
        self.publish_at = math.inf

    def expire(self, now: float) -> None:
        """Ends what the peers no longer tell."""
        if self.is_active() and not self.is_direct and now >= self.expires_at():
            self.clear()

    def expires_at(self) -> float:
        """Returns when it ends by itself."""
        if not self.is_active() or self.is_direct:
            return math.inf
        return self.received_at + PEER_NOTICE_TTL_S

    def record_published(self, now: float, stop_within_s: float) -> None:
        """Plans the next time: some repeats in time, then reminders.

        Reminders come from daemons that know it first-hand; the others only
        pass them on.
        """
        self.publish_count += 1
        if self.publish_count < PUBLISH_REPEATS:
            self.publish_at = now + stop_within_s / PUBLISH_REPEATS
        elif self.is_direct:
            self.publish_at = now + REMINDER_PERIOD_S
        else:
            self.publish_at = math.inf
