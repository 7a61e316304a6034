"""One fact about a server, its origin, and when to publish it to the peers."""

import dataclasses
import math

PUBLISH_REPEATS = 4
REMINDER_PERIOD_S = 5.0
PEER_NOTICE_TTL_S = 6 * REMINDER_PERIOD_S


@dataclasses.dataclass(slots=True)
class Notice:
    """A reason to send a server no new requests, published between daemons.

    A notice that this daemon learned directly is active until it is cleared
    here. A notice from a peer is active as long as peers repeat it.

    Attributes:
        since: When it was first learned, or None while it isn't active.
        is_direct: Whether this daemon learned it by itself.
        received_at: When a peer last sent it.
        forwarded_at: When one from a peer was last forwarded.
        publish_at: When to publish it next.
        publish_count: How often it was published.
    """

    since: float | None = None
    is_direct: bool = False
    received_at: float = -math.inf
    forwarded_at: float = -math.inf
    publish_at: float = math.inf
    publish_count: int = 0

    def is_active(self) -> bool:
        """Returns whether the reason applies now."""
        return self.since is not None

    def learn(self, now: float) -> None:
        """Records that this daemon learned it directly."""
        if self.is_direct:
            return
        self.since = now
        self.is_direct = True
        self.publish_count = 0
        self.publish_at = now

    def receive(self, learned_at: float, now: float) -> None:
        """Records that a peer sent it, possibly again."""
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
        """Records that the reason no longer applies."""
        self.since = None
        self.is_direct = False
        self.publish_at = math.inf

    def expire(self, now: float) -> None:
        """Clears a notice that peers no longer repeat."""
        if self.is_active() and not self.is_direct and now >= self.expires_at():
            self.clear()

    def expires_at(self) -> float:
        """Returns when the notice expires by itself."""
        if not self.is_active() or self.is_direct:
            return math.inf
        return self.received_at + PEER_NOTICE_TTL_S

    def record_published(self, now: float, stop_within_s: float) -> None:
        """Schedules the next publication: first repeats, then reminders.

        The repeats fall within the time in which all daemons have to stop
        sending. Only a daemon that learned the notice directly sends
        reminders; the others forward them.

        Args:
            now: Loop time.
            stop_within_s: Time within which every daemon has to stop.
        """
        self.publish_count += 1
        if self.publish_count < PUBLISH_REPEATS:
            self.publish_at = now + stop_within_s / PUBLISH_REPEATS
        elif self.is_direct:
            self.publish_at = now + REMINDER_PERIOD_S
        else:
            self.publish_at = math.inf
