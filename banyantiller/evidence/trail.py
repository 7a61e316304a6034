"""Reads the audit trail, finds its tip and verifies it.

Entry N is the object of kind `auditentries` named `DEPLOYMENT.N`, with N as
twelve digits. The object of kind `audittips` named after the deployment
records the last entry that a writer saw. It shortens the search for the tip
and reveals a truncated trail.
"""

import asyncio
from collections.abc import Iterable
from typing import Any, NamedTuple

from banyantiller.evidence import chain
from banyantiller.store import interface

ENTRY_KIND = "auditentries"
TIP_KIND = "audittips"
STALE_READS = 3
STALE_PAUSE_S = 0.1


class AuditReport(NamedTuple):
    """Result of verifying the trail.

    Attributes:
        readable: Whether the trail could be read.
        reason: Why it could not be read, or empty.
        entries: Entries in order of sequence, damaged ones included.
        problems: Problems found; empty for an intact trail.
        tip: The last entry found.
        anchors: Number of recorded tips that the trail was checked against.
    """

    readable: bool
    reason: str
    entries: tuple[dict[str, Any], ...]
    problems: tuple[chain.Problem, ...]
    tip: chain.Tip
    anchors: int

    @property
    def intact(self) -> bool:
        """Whether the trail was read and has no problems."""
        return self.readable and not self.problems


class UnreadableError(Exception):
    """The object API did not answer a read."""


def entry_name(deployment: str, sequence: int) -> str:
    """Returns the object name of an entry."""
    return f"{deployment}.{sequence:012d}"


async def read_tip(store: interface.ObjectStore, deployment: str) -> chain.Tip:
    """Finds the last entry, starting at the recorded tip.

    Returns:
        The tip; sequence 0 for an empty trail.
    """
    recorded = await _get(store, TIP_KIND, deployment)
    if recorded is None:
        tip = await _listed_tip(store, deployment)
    else:
        tip = parse_tip(recorded.value)
    while True:
        entry = await _get(
            store, ENTRY_KIND, entry_name(deployment, tip.sequence + 1)
        )
        if entry is None:
            return tip
        tip = chain.Tip(tip.sequence + 1, str(entry.value.get("digest")))


async def read_recorded_tip(
    store: interface.ObjectStore, deployment: str
) -> chain.Tip | None:
    """Reads only the recorded tip, in one request; None if unreadable."""
    outcome = await store.get(TIP_KIND, deployment)
    if not isinstance(outcome, interface.Found):
        return None
    return parse_tip(outcome.item.value)


def parse_tip(value: Any) -> chain.Tip:
    """Parses a tip from a stored value; an invalid one counts as empty."""
    if not isinstance(value, dict):
        return chain.Tip()
    sequence = value.get("sequence")
    digest = value.get("digest")
    if not isinstance(sequence, int) or not isinstance(digest, str):
        return chain.Tip()
    return chain.Tip(max(sequence, 0), digest)


async def verify(
    store: interface.ObjectStore,
    deployment: str,
    seen: Iterable[chain.Tip] = (),
) -> AuditReport:
    """Verifies the whole trail.

    Finds missing, altered, replaced and reordered entries. Finds a truncated
    trail only if a later tip was recorded: by a writer, or in `seen`, which
    holds tips from the daemons' evidence or an operator's earlier check.

    Args:
        store: The object API.
        deployment: Name of the fleet.
        seen: Tips that were recorded outside the trail.

    Returns:
        The report; not readable if the object API did not answer.
    """
    tips = [tip for tip in seen if tip.sequence > 0]
    try:
        recorded = await _get(store, TIP_KIND, deployment)
        if recorded is not None:
            tips.append(parse_tip(recorded.value))
        records, foreign = await _read_entries(store, deployment, tips)
    except UnreadableError as error:
        return AuditReport(False, str(error), (), (), chain.Tip(), 0)
    problems = foreign + _check(records, tips)
    ordered = tuple(records[sequence] for sequence in sorted(records))
    return AuditReport(
        True, "", ordered, tuple(problems), _last_tip(records), len(tips)
    )


def _check(
    records: dict[int, dict[str, Any]], tips: list[chain.Tip]
) -> list[chain.Problem]:
    problems = chain.check_links(records)
    first = min(records, default=chain.FIRST_SEQUENCE)
    if first != chain.FIRST_SEQUENCE:
        detail = f"The trail starts at entry {first}."
        problems.insert(
            0,
            chain.Problem(chain.FIRST_SEQUENCE, chain.Damage.MISSING, detail),
        )
    elif records and records[first].get("previous") != chain.NO_DIGEST:
        detail = "The first entry names one before it."
        problems.insert(0, chain.Problem(first, chain.Damage.REPLACED, detail))
    return problems + chain.check_tips(records, tips)


async def _read_entries(
    store: interface.ObjectStore, deployment: str, tips: list[chain.Tip]
) -> tuple[dict[int, dict[str, Any]], list[chain.Problem]]:
    """Lists the entries; lists them again while a known tip is missing."""
    min_sequence = max((tip.sequence for tip in tips), default=0)
    for attempt in range(STALE_READS):
        items = await _list(store, deployment)
        records, foreign = _by_sequence(items, deployment)
        if max(records, default=0) >= min_sequence:
            break
        await asyncio.sleep(STALE_PAUSE_S * 2.0**attempt)
    return records, foreign


def _by_sequence(
    items: tuple[interface.StoredObject, ...], deployment: str
) -> tuple[dict[int, dict[str, Any]], list[chain.Problem]]:
    records: dict[int, dict[str, Any]] = {}
    problems: list[chain.Problem] = []
    for item in items:
        prefix, _, digits = item.name.rpartition(".")
        if prefix != deployment or not digits.isdecimal():
            detail = f"The object '{item.name}' is no entry of the trail."
            problems.append(chain.Problem(0, chain.Damage.UNREADABLE, detail))
            continue
        records[int(digits)] = {"digest": None, **item.value}
    return records, problems


async def _listed_tip(
    store: interface.ObjectStore, deployment: str
) -> chain.Tip:
    """Finds the last entry when no tip is recorded."""
    items = await _list(store, deployment)
    records, _ = _by_sequence(items, deployment)
    return _last_tip(records)


def _last_tip(records: dict[int, dict[str, Any]]) -> chain.Tip:
    if not records:
        return chain.Tip()
    sequence = max(records)
    return chain.Tip(sequence, records[sequence]["digest"] or chain.NO_DIGEST)


async def _get(
    store: interface.ObjectStore, kind: str, name: str
) -> interface.StoredObject | None:
    outcome = await store.get(kind, name)
    if isinstance(outcome, interface.Unavailable):
        raise UnreadableError(outcome.reason)
    return outcome.item if isinstance(outcome, interface.Found) else None


async def _list(
    store: interface.ObjectStore, deployment: str
) -> tuple[interface.StoredObject, ...]:
    outcome = await store.list(ENTRY_KIND, {"deployment": deployment})
    if isinstance(outcome, interface.Unavailable):
        raise UnreadableError(outcome.reason)
    return outcome.items
