"""One fact about a server, who said it, and when to tell it to the peers."""

import dataclasses
import math

REPEATS = 4
REMINDER_S = 5.0
PEER_HOLD_S = 6 * REMINDER_S


@dataclasses.dataclass(slots=True)
class Notice:
    """A reason to leave a server alone that daemons tell each other.

    What this daemon knows first-hand holds until it ends here. What a peer
    told holds while it is told again.

    Attributes:
        since: When it was said first, or None while it doesn't hold.
        is_first_hand: Whether this daemon knows it without its peers.
        heard_at: When a peer told it last.
        passed_on_at: When that was passed on last.
        tell_at: When to tell it next.
        told: Times that it was told.
    """

    since: float | None = None
    is_first_hand: bool = False
    heard_at: float = -math.inf
    passed_on_at: float = -math.inf
    tell_at: float = math.inf
    told: int = 0

    def holds(self) -> bool:
        """Tells whether it is a reason now."""
        return self.since is not None

    def begin(self, now: float) -> None:
        """This daemon learned it first-hand."""
        if self.is_first_hand:
            return
        self.since = now
        self.is_first_hand = True
        self.told = 0
        self.tell_at = now

    def hear(self, said_at: float, now: float) -> None:
        """A peer told it, or told it again."""
        if self.is_first_hand:
            return
        if now - self.passed_on_at >= REMINDER_S / 2:
            self.passed_on_at = now
            self.tell_at = now
        self.heard_at = now
        if not self.holds():
            self.since = said_at
            self.told = 0

    def end(self) -> None:
        """It holds no longer."""
        self.since = None
        self.is_first_hand = False
        self.tell_at = math.inf

    def expire(self, now: float) -> None:
        """Ends what the peers no longer tell."""
        if self.holds() and not self.is_first_hand and now >= self.ends_at():
            self.end()

    def ends_at(self) -> float:
        """Returns when it ends by itself."""
        if not self.holds() or self.is_first_hand:
            return math.inf
        return self.heard_at + PEER_HOLD_S

    def note_told(self, now: float, within_s: float) -> None:
        """Plans the next time: some repeats in time, then reminders.

        Reminders come from daemons that know it first-hand; the others only
        pass them on.
        """
        self.told += 1
        if self.told < REPEATS:
            self.tell_at = now + within_s / REPEATS
        elif self.is_first_hand:
            self.tell_at = now + REMINDER_S
        else:
            self.tell_at = math.inf
