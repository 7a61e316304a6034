"""When a daemon reads the store itself, and when it relies on others.

The load pattern: hundreds of daemons start in the same second, or learn in the
same second that the store has lost its history or gives no answer. Each call to
the store is paid for. If each daemon then reads it, a lost history costs
several calls a daemon, and calls grow with the fleet and not with what changes.

A few daemons are asked by all others, and read the store. One of them that
lives and says that it hears nothing of the store saves the others the same
experience, for as long as a change that they can't see yet may go unseen. Then
each of them reads the store itself, since only those that are asked may be cut
off from it.

Others may be silent, late or wrong on how fresh they are, one after the other,
and each that is waited for takes time that a change has. So there is one time
for all of it, which follows from the age of what is known: from then on the
store is read, whatever is being waited for.
"""

# A read of the store takes up to 0.4 s when it is slow, and another daemon may
# be asked in vain for 0.2 s before.
OWN_READ_S = 0.6
# What is left for a read of the store that answers as usual, where everything
# before it was in vain.
LAST_READ_S = 0.25
# First pause between own tries of a lost store. A store that is back is seen by
# the daemons that are asked within a second, so own tries matter only where all
# of those are cut off.
FIRST_RETRY_PAUSE_S = 1.5
# Longest pause between them: after an outage a change is to be known within the
# time that it may take and 3 s more, in which nobody is in touch again.
MAX_RETRY_PAUSE_S = 4.0
# How long after its start a daemon waits for others to listen or to list: where
# a fleet starts at once, those that are asked need up to 1 s on a busy machine.
SETTLE_S = 1.2
# The same for changes once everything is listed: the age of what is known ends
# that as well, and until then callers are served.
LISTED_SETTLE_S = 3.0


class StoreReadPolicy:
    """How long a daemon relies on others.

    Attributes:
        bound_s: Time in which a change has to be known, in seconds.
        fresh_at: Loop time at which the store said what is known here.
        settling_until: Loop time until which others may be about to listen.
        listed_settling_until: The same where everything is listed already.
        next_retry_at: Loop time from which a lost store is tried again.
        retry_pause_s: Pause before the next own try of a lost store, in
            seconds.
    """

    def __init__(self, bound_s: float, now: float) -> None:
        self.bound_s = bound_s
        self.fresh_at = now
        self.settling_until = now + SETTLE_S
        self.listed_settling_until = now + LISTED_SETTLE_S
        self.next_retry_at = 0.0
        self.retry_pause_s = FIRST_RETRY_PAUSE_S

    @property
    def max_peer_age_s(self) -> float:
        """Age up to which what others tell is relied on, in seconds."""
        return self.bound_s - OWN_READ_S

    @property
    def max_age_s(self) -> float:
        """Age of what is known at which the store is read, in seconds."""
        return self.bound_s - LAST_READ_S

    @property
    def next_store_retry(self) -> float:
        """Loop time from which a lost store may be tried again."""
        return max(self.fresh_at + self.max_peer_age_s, self.next_retry_at)

    def record_confirmation(self, fresh_at: float) -> None:
        """Notes that the store said at `fresh_at` what is known now."""
        if fresh_at > self.fresh_at:
            self.fresh_at = fresh_at
            self.next_retry_at = 0.0
            self.retry_pause_s = FIRST_RETRY_PAUSE_S

    def end_settling(self) -> None:
        """Notes that others are not about to listen any more."""
        self.settling_until = 0.0
        self.listed_settling_until = 0.0

    def is_settling(self, now: float, listed: bool = False) -> bool:
        """Tells whether others may still be about to listen.

        Args:
            now: Loop time.
            listed: Whether everything is listed, and only changes are missing.
        """
        return now < (
            self.listed_settling_until if listed else self.settling_until
        )

    def may_rely_on_peers(self, now: float) -> bool:
        """Tells whether others that hear nothing of the store will do."""
        return now < self.fresh_at + self.max_peer_age_s

    def should_retry_store(self, now: float) -> bool:
        """Tells whether to try a lost store now; each try moves the next."""
        if now < self.next_store_retry:
            return False
        self.next_retry_at = now + self.retry_pause_s
        self.retry_pause_s = min(2 * self.retry_pause_s, MAX_RETRY_PAUSE_S)
        return True
