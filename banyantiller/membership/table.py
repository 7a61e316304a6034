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

CONFIRM_PERIODS = 2.0
LEAVING_S = 300.0
FORGET_S = 300.0
MOST_MEMBERS = 1024


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


def identity(entry: MemberEntry) -> tuple[int, str, int]:
    """Tells one run of a daemon from another run of the same name."""
    return entry.incarnation, entry.address, entry.port


def order(entry: MemberEntry) -> tuple[object, ...]:
    """Returns the key by which the greater of two entries wins."""
    return *identity(entry), entry.heard, entry.state, entry.zone


def merge(left: MemberEntry, right: MemberEntry) -> MemberEntry:
    """Joins two entries of one daemon.

    The result does not depend on the order of the arguments. The bundle
    version only grows within one run.
    """
    winner, loser = (
        (left, right)
        if order(left) >= order(right)
        else (
            right,
            left,
        )
    )
    if identity(winner) != identity(loser):
        return winner
    return winner._replace(bundle=max(winner.bundle, loser.bundle))


class Applied(NamedTuple):
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


class Table:
    """Entries of all known daemons.

    Attributes:
        own: This daemon's entry.
        entries: Other daemons' entries by name.
        since: Time of each entry's last change of state here.
    """

    def __init__(self, own: MemberEntry, suspect_s: float) -> None:
        self.own = own
        self.suspect_s = suspect_s
        self.entries: dict[str, MemberEntry] = {}
        self.since: dict[str, float] = {}

    def apply(self, entry: MemberEntry, now: float) -> Applied:
        """Takes in an entry.

        Args:
            entry: What a peer told.
            now: Loop time.

        Returns:
            What changed by it.
        """
        if entry.daemon == self.own.daemon:
            return self._apply_own(entry)
        known = self.entries.get(entry.daemon)
        if known is None:
            return self._apply_new(entry, now)
        merged = merge(known, entry)
        if merged == known:
            return Applied()
        self._store(merged, now)
        if order(merged) == order(known):
            return Applied()
        return Applied(changed=merged)

    def suspect(self, daemon: str, now: float) -> MemberEntry | None:
        """Marks a member as suspect; returns the entry if it was alive."""
        entry = self.entries.get(daemon)
        if entry is None or entry.state != State.ALIVE:
            return None
        return self._store(entry._replace(state=State.SUSPECT), now)

    def end(self, daemon: str, now: float) -> MemberEntry | None:
        """Marks a leaving member as dead once its links have closed."""
        entry = self.entries.get(daemon)
        if entry is None or entry.state != State.LEAVING:
            return None
        return self._store(entry._replace(state=State.DEAD), now)

    def expire(self, now: float) -> list[MemberEntry]:
        """Moves members on whose time in a state is over.

        Suspects that nobody refuted become dead, as do members that have
        been leaving for long. Dead members are forgotten.

        Returns:
            Entries that became dead.
        """
        dead = [
            self._store(entry._replace(state=State.DEAD), now)
            for entry in list(self.entries.values())
            if self._is_over(entry, now)
        ]
        for name in [n for n, e in self.entries.items() if self._old(e, now)]:
            del self.entries[name]
            del self.since[name]
        return dead

    def leave(self) -> MemberEntry:
        """Marks this daemon as leaving; returns its entry."""
        self.own = self.own._replace(
            state=State.LEAVING, heard=self.own.heard + 1
        )
        return self.own

    def take_name(self, other: MemberEntry) -> MemberEntry:
        """Raises the own incarnation above an earlier run's; returns it."""
        self.own = self.own._replace(
            incarnation=max(self.own.incarnation, other.incarnation) + 1
        )
        return self.own

    def set_bundle(self, version: int) -> None:
        """Notes the version of the bundle in force here."""
        self.own = self.own._replace(bundle=version)

    def members(self, states: Iterable[int]) -> list[MemberEntry]:
        """Returns the other members in the given states, by name."""
        wanted = set(states)
        return [
            self.entries[name]
            for name in sorted(self.entries)
            if self.entries[name].state in wanted
        ]

    def all_entries(self) -> tuple[MemberEntry, ...]:
        """Returns the own entry and all others."""
        return self.own, *self.entries.values()

    def _apply_own(self, entry: MemberEntry) -> Applied:
        if identity(entry) > identity(self.own):
            return Applied(displaced=True)
        if identity(entry) < identity(self.own):
            return Applied(self.own, refuted=True)
        # Equal counters with a worse state, or a counter raised by an
        # entry that outlived a lost one: both are answered by a higher one.
        if order(entry) <= order(self.own):
            return Applied()
        self.own = self.own._replace(heard=entry.heard + 1)
        return Applied(self.own, refuted=True)

    def _apply_new(self, entry: MemberEntry, now: float) -> Applied:
        # A dead member that is not known here was forgotten: taking it in
        # again would let two daemons remind each other of it for ever.
        if entry.state == State.DEAD or len(self.entries) >= MOST_MEMBERS:
            return Applied()
        return Applied(changed=self._store(entry, now))

    def _store(self, entry: MemberEntry, now: float) -> MemberEntry:
        known = self.entries.get(entry.daemon)
        if known is None or known.state != entry.state:
            self.since[entry.daemon] = now
        self.entries[entry.daemon] = entry
        return entry

    def _is_over(self, entry: MemberEntry, now: float) -> bool:
        age = now - self.since[entry.daemon]
        if entry.state == State.SUSPECT:
            return age >= self.suspect_s * CONFIRM_PERIODS
        return entry.state == State.LEAVING and age >= LEAVING_S

    def _old(self, entry: MemberEntry, now: float) -> bool:
        age = now - self.since[entry.daemon]
        return entry.state == State.DEAD and age >= FORGET_S
