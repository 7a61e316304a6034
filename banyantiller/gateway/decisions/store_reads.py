"""Decides when a daemon reads the store itself and when it relies on peers.

Load pattern: hundreds of daemons start in the same second, or learn in the same
second that the store has lost its history or does not respond. Each call to the
store is paid for. If each daemon read the store then, a lost history would cost
several calls per daemon, and the number of calls would grow with the fleet and
not with the changes.

A few daemons, the relays, read the store, and all others query them. While a
responding relay reports that it gets nothing from the store, its subscribers
need not find that out themselves, for as long as a change that they cannot see
yet may stay unseen. After that each of them reads the store itself, since
possibly only the relays are cut off from it.

Relays may be unresponsive, late or wrong about their freshness, one after the
other, and each wait for one uses up time within which a change must be known.
So one time limit covers all waits. It follows from the staleness of the cached
state: once it is reached the store is read, whatever the daemon is waiting for.
"""

# Time reserved for a slow read of the store (up to 0.4 s) after a peer was
# queried without success (0.2 s).
STORE_READ_S = 0.6
# Time reserved for a read of the store at its usual speed, after everything
# else failed.
LAST_STORE_READ_S = 0.25
# Time from the end of a call's wait until a change is known if the response was
# lost: the call times out after 0.8 s; a pause and a query of relays take 0.1 s
# each, and the next call 0.2 s.
LOST_RESPONSE_S = 1.2
# First pause between retries of a lost store. The relays see within a second
# that a store is back, so retries of other daemons matter only if all relays
# are cut off.
FIRST_RETRY_PAUSE_S = 1.5
# Time from a retry that is due until a change is known: a query of a relay that
# is unresponsive takes 0.4 s, and the read itself 0.2 s.
RETRY_DELAY_S = 0.6
# How long after its start a daemon waits for peers to listen or to list the
# store: if a whole fleet starts at once, relays need up to 1 s on a busy
# machine.
SETTLE_S = 1.2
# The same for changes once everything is listed. The staleness of the cached
# state ends this wait as well, and callers are served meanwhile.
LISTED_SETTLE_S = 3.0


def max_wait_s(recovery_s: float) -> float:
    """Returns the maximum wait of a call for changes, in seconds.

    A disruption may end just after it lost the response to a call. What the
    response contained has to be known `recovery_s` later.

    Args:
        recovery_s: Time after a disruption from which changes are in force in
            time again, in seconds.
    """
    return recovery_s - LOST_RESPONSE_S


def max_peer_age_s(bound_s: float) -> float:
    """Returns the maximum age of state that is accepted from peers.

    Args:
        bound_s: Time within which a change must be known, in seconds.
    """
    return bound_s - STORE_READ_S


class StoreReadPolicy:
    """How long a daemon relies on peers before it reads the store.

    Attributes:
        bound_s: Time within which a change must be known, in seconds.
        fresh_at: Loop time at which the store last confirmed the cached state.
        settling_until: Loop time until which peers may still be starting.
        listed_settling_until: The same once everything is listed.
        next_retry_at: Loop time from which a lost store is tried again.
        retry_pause_s: Pause after the next retry of a lost store, in seconds.
        max_retry_pause_s: Maximum of that pause: a change must be known
            `recovery_s` after an outage, which may end just after a retry.
        first_retry_pause_s: First such pause.
    """

    def __init__(self, bound_s: float, recovery_s: float, now: float) -> None:
        self.bound_s = bound_s
        self.max_retry_pause_s = recovery_s - RETRY_DELAY_S
        self.first_retry_pause_s = min(
            FIRST_RETRY_PAUSE_S, self.max_retry_pause_s
        )
        self.fresh_at = now
        self.settling_until = now + SETTLE_S
        self.listed_settling_until = now + LISTED_SETTLE_S
        self.next_retry_at = 0.0
        self.retry_pause_s = self.first_retry_pause_s

    @property
    def max_peer_age_s(self) -> float:
        """Maximum age of state that is accepted from peers, in seconds."""
        return max_peer_age_s(self.bound_s)

    @property
    def max_age_s(self) -> float:
        """Age of the cached state at which the store is read, in seconds."""
        return self.bound_s - LAST_STORE_READ_S

    @property
    def next_store_retry(self) -> float:
        """Loop time from which a lost store may be tried again."""
        return max(self.fresh_at + self.max_peer_age_s, self.next_retry_at)

    def record_confirmation(self, fresh_at: float) -> None:
        """Records that the store confirmed the cached state at `fresh_at`."""
        if fresh_at > self.fresh_at:
            self.fresh_at = fresh_at
            self.next_retry_at = 0.0
            self.retry_pause_s = self.first_retry_pause_s

    def end_settling(self) -> None:
        """Ends the wait for peers that are still starting."""
        self.settling_until = 0.0
        self.listed_settling_until = 0.0

    def is_settling(self, now: float, listed: bool = False) -> bool:
        """Returns whether peers may still be starting to listen.

        Args:
            now: Loop time.
            listed: Whether everything is listed, and only changes are missing.
        """
        return now < (
            self.listed_settling_until if listed else self.settling_until
        )

    def may_rely_on_peers(self, now: float) -> bool:
        """Returns whether peers without contact to the store are enough."""
        return now < self.fresh_at + self.max_peer_age_s

    def should_retry_store(self, now: float) -> bool:
        """Returns whether to try a lost store now; schedules the next retry."""
        if now < self.next_store_retry:
            return False
        self.next_retry_at = now + self.retry_pause_s
        self.retry_pause_s = min(2 * self.retry_pause_s, self.max_retry_pause_s)
        return True
