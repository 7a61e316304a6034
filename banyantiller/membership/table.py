"""The member table: who is in the fleet, as far as this daemon knows.

Every daemon keeps one `MemberEntry` for each other daemon and merges what
peers tell. A merge takes the greater entry, so it may happen in any order
and any number of times. A daemon that hears that it is suspected raises its
own `heard` counter, which beats the suspicion everywhere.

Times are seconds of the loop's clock, passed in as `now`.
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
    """States of a member; within one `heard` count the greater wins."""

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
    """Tells one run of a daemon from another run of the same name."""
    return entry.incarnation, entry.address, entry.port


def precedence(entry: MemberEntry) -> tuple[object, ...]:
    """Returns the key by which the greater of two entries wins."""
    return *incarnation_id(entry), entry.heard, entry.state, entry.zone


def merge(left: MemberEntry, right: MemberEntry) -> MemberEntry:
    """Joins two entries of one daemon.

    The result does not depend on the order of the arguments. The bundle
    version only grows within one run.
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
    """What came of an entry that a peer told.

    Attributes:
        changed: Entry that is worth passing on, or None.
        refuted: Whether the entry is this daemon's own, raised because the
            peer's was a suspicion or from another run.
        displaced: Whether a later run has taken this daemon's name.
    """

    changed: MemberEntry | None = None
    refuted: bool = False
    displaced: bool = False


class MemberTable:
    """Entries of all known daemons.

    Attributes:
        own: This daemon's entry.
        entries: Other daemons' entries by name.
        since: Time of each entry's last change of state here.
    """

    def __init__(self, local: MemberEntry, suspect_s: float) -> None:
        self.local = local
        self.suspect_s = suspect_s
        self.entries: dict[str, MemberEntry] = {}
        self.state_since: dict[str, float] = {}

    def apply_entry(self, entry: MemberEntry, now: float) -> ApplyResult:
        """Takes in an entry.

        Args:
            entry: What a peer told.
            now: Loop time.

        Returns:
            What changed by it.
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
        """Marks a member as suspect; returns the entry if it was alive."""
        entry = self.entries.get(daemon)
        if entry is None or entry.state != State.ALIVE:
            return None
        return self._store_entry(entry._replace(state=State.SUSPECT), now)

    def mark_left(self, daemon: str, now: float) -> MemberEntry | None:
        """Marks a leaving member as dead once its links have closed."""
        entry = self.entries.get(daemon)
        if entry is None or entry.state != State.LEAVING:
            return None
        return self._store_entry(entry._replace(state=State.DEAD), now)

    def expire_entries(self, now: float) -> list[MemberEntry]:
        """Moves members on whose time in a state is over.

        Suspects that nobody refuted become dead, as do members that have
        been leaving for long. Dead members are forgotten.

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
        """Marks this daemon as leaving; returns its entry."""
        self.local = self.local._replace(
            state=State.LEAVING, heard=self.local.heard + 1
        )
        return self.local

    def raise_incarnation_above(self, other: MemberEntry) -> MemberEntry:
        """Raises the own incarnation above an earlier run's; returns it."""
        self.local = self.local._replace(
            incarnation=max(self.local.incarnation, other.incarnation) + 1
        )
        return self.local

    def set_bundle_version(self, version: int) -> None:
        """Notes the version of the bundle in force here."""
        self.local = self.local._replace(bundle=version)

    def members_in_states(self, states: Iterable[int]) -> list[MemberEntry]:
        """Returns the other members in the given states, by name."""
        wanted_states = set(states)
        return [
            self.entries[name]
            for name in sorted(self.entries)
            if self.entries[name].state in wanted_states
        ]

    def all_entries(self) -> tuple[MemberEntry, ...]:
        """Returns the own entry and all others."""
        return self.local, *self.entries.values()

    def _apply_local(self, entry: MemberEntry) -> ApplyResult:
        if incarnation_id(entry) > incarnation_id(self.local):
            return ApplyResult(displaced=True)
        if incarnation_id(entry) < incarnation_id(self.local):
            return ApplyResult(self.local, refuted=True)
        # Equal counters with a worse state, or a counter raised by an
        # entry that outlived a lost one: both are answered by a higher one.
        if precedence(entry) <= precedence(self.local):
            return ApplyResult()
        self.local = self.local._replace(heard=entry.heard + 1)
        return ApplyResult(self.local, refuted=True)

    def _apply_new(self, entry: MemberEntry, now: float) -> ApplyResult:
        # A dead member that is not known here was forgotten: taking it in
        # again would let two daemons remind each other of it for ever.
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
