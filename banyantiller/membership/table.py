"""The member table: the local view of the fleet.

Every daemon keeps one `MemberEntry` for each peer and merges the entries that
it receives. A merge keeps the greater entry, so entries may be merged in any
order and repeatedly. A daemon that learns that it is suspected raises its own
`heard` counter; the raised entry overrides the suspicion at all members.

Times are seconds of the event loop's clock, passed in as `now`.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from banyantiller.membership.messages import MemberEntry

SUSPECT_PERIODS_UNTIL_DEAD = 2.0
LEAVING_TIMEOUT_S = 300.0
FORGET_DEAD_AFTER_S = 300.0
MAX_MEMBERS = 1024


class State(enum.IntEnum):
    """States of a member; for equal `heard` counters the greater wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


STATE_NAMES = {
    State.ALIVE: "alive",
    State.SUSPECT: "suspect",
    State.LEAVING: "leaving",
    State.DEAD: "dead",
}


def incarnation_id(entry: MemberEntry) -> tuple[int, str, int]:
    """Returns the key that orders the incarnations of one daemon name."""
    return entry.incarnation, entry.address, entry.port


def precedence(entry: MemberEntry) -> tuple[object, ...]:
    """Returns the key by which a merge compares two entries."""
    return *incarnation_id(entry), entry.heard, entry.state, entry.zone


def merge(left: MemberEntry, right: MemberEntry) -> MemberEntry:
    """Merges two entries of one daemon.

    The result does not depend on the order of the arguments. The bundle
    version never decreases within one incarnation.
    """
    winner, loser = (
        (left, right)
        if precedence(left) >= precedence(right)
        else (
            right,
            left,
        )
    )
    if incarnation_id(winner) != incarnation_id(loser):
        return winner
    return winner._replace(bundle=max(winner.bundle, loser.bundle))


class ApplyResult(NamedTuple):
    """Outcome of applying a received entry.

    Attributes:
        changed: Entry to disseminate, or None.
        refuted: Whether `changed` is the local entry, which refutes a
            suspicion or an entry of an earlier incarnation.
        displaced: Whether a later incarnation has taken over the name of
            this daemon.
    """

    changed: MemberEntry | None = None
    refuted: bool = False
    displaced: bool = False


class MemberTable:
    """Entries of all members in the local view.

    Attributes:
        local: Entry of this daemon.
        entries: Entries of the peers by name.
        state_since: Time at which the state of each entry last changed.
    """

    def __init__(self, local: MemberEntry, suspect_s: float) -> None:
        self.local = local
        self.suspect_s = suspect_s
        self.entries: dict[str, MemberEntry] = {}
        self.state_since: dict[str, float] = {}

    def apply_entry(self, entry: MemberEntry, now: float) -> ApplyResult:
        """Applies a received entry.

        Args:
            entry: Entry that a peer sent.
            now: Loop time.

        Returns:
            What changed.
        """
        if entry.daemon == self.local.daemon:
            return self._apply_local(entry)
        current = self.entries.get(entry.daemon)
        if current is None:
            return self._apply_new(entry, now)
        merged = merge(current, entry)
        if merged == current:
            return ApplyResult()
        self._store_entry(merged, now)
        if precedence(merged) == precedence(current):
            return ApplyResult()
        return ApplyResult(changed=merged)

    def mark_suspect(self, daemon: str, now: float) -> MemberEntry | None:
        """Marks an alive member as suspect; returns its entry, or None."""
        entry = self.entries.get(daemon)
        if entry is None or entry.state != State.ALIVE:
            return None
        return self._store_entry(entry._replace(state=State.SUSPECT), now)

    def mark_left(self, daemon: str, now: float) -> MemberEntry | None:
        """Marks a leaving member as dead; returns its entry, or None."""
        entry = self.entries.get(daemon)
        if entry is None or entry.state != State.LEAVING:
            return None
        return self._store_entry(entry._replace(state=State.DEAD), now)

    def expire_entries(self, now: float) -> list[MemberEntry]:
        """Applies the time limits of the states.

        Suspects become dead if the suspicion is not refuted in time, as do
        members that are leaving for too long. Dead members are removed.

        Returns:
            Entries that became dead.
        """
        dead = [
            self._store_entry(entry._replace(state=State.DEAD), now)
            for entry in list(self.entries.values())
            if self._is_expired(entry, now)
        ]
        for name in [
            n for n, e in self.entries.items() if self._is_forgettable(e, now)
        ]:
            del self.entries[name]
            del self.state_since[name]
        return dead

    def mark_leaving(self) -> MemberEntry:
        """Marks this daemon as leaving; returns the local entry."""
        self.local = self.local._replace(
            state=State.LEAVING, heard=self.local.heard + 1
        )
        return self.local

    def raise_incarnation_above(self, other: MemberEntry) -> MemberEntry:
        """Raises the local incarnation above another; returns the entry."""
        self.local = self.local._replace(
            incarnation=max(self.local.incarnation, other.incarnation) + 1
        )
        return self.local

    def set_bundle_version(self, version: int) -> None:
        """Sets the version of the bundle in force in the local entry."""
        self.local = self.local._replace(bundle=version)

    def members_in_states(self, states: Iterable[int]) -> list[MemberEntry]:
        """Returns the peers in the given states, sorted by name."""
        wanted_states = set(states)
        return [
            self.entries[name]
            for name in sorted(self.entries)
            if self.entries[name].state in wanted_states
        ]

    def all_entries(self) -> tuple[MemberEntry, ...]:
        """Returns the local entry and those of all peers."""
        return self.local, *self.entries.values()

    def _apply_local(self, entry: MemberEntry) -> ApplyResult:
        if incarnation_id(entry) > incarnation_id(self.local):
            return ApplyResult(displaced=True)
        if incarnation_id(entry) < incarnation_id(self.local):
            return ApplyResult(self.local, refuted=True)
        # The entry has an equal counter and a worse state, or a higher counter
        # from an update that this daemon no longer has. Raising the local
        # counter above that of the entry refutes both.
        if precedence(entry) <= precedence(self.local):
            return ApplyResult()
        self.local = self.local._replace(heard=entry.heard + 1)
        return ApplyResult(self.local, refuted=True)

    def _apply_new(self, entry: MemberEntry, now: float) -> ApplyResult:
        # A dead member without an entry has been removed here before. Adding
        # it again would let two daemons re-infect each other without end.
        if entry.state == State.DEAD or len(self.entries) >= MAX_MEMBERS:
            return ApplyResult()
        return ApplyResult(changed=self._store_entry(entry, now))

    def _store_entry(self, entry: MemberEntry, now: float) -> MemberEntry:
        current = self.entries.get(entry.daemon)
        if current is None or current.state != entry.state:
            self.state_since[entry.daemon] = now
        self.entries[entry.daemon] = entry
        return entry

    def _is_expired(self, entry: MemberEntry, now: float) -> bool:
        age = now - self.state_since[entry.daemon]
        if entry.state == State.SUSPECT:
            return age >= self.suspect_s * SUSPECT_PERIODS_UNTIL_DEAD
        return entry.state == State.LEAVING and age >= LEAVING_TIMEOUT_S

    def _is_forgettable(self, entry: MemberEntry, now: float) -> bool:
        age = now - self.state_since[entry.daemon]
        return entry.state == State.DEAD and age >= FORGET_DEAD_AFTER_S
