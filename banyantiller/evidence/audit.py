"""The audit trail of changes, kept in the object API.

Entry N is the object of kind `auditentries` named `DEPLOYMENT.N`, with N as
twelve digits. It is created only if no such object exists, and it carries
the digest of entry N - 1, so racing writers can't fork the trail. A lost
answer is settled by reading the entry's nonce back. The object of kind
`audittips` named after the deployment holds the last entry seen by a writer;
it shortens the search for the end and shows when the end was cut off.
"""

import asyncio
import dataclasses
import secrets
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import structlog

from banyantiller.evidence import chain
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.evidence")

ENTRY_KIND = "auditentries"
TIP_KIND = "audittips"
MAX_DETAIL_BYTES = 65_536
MOST_CONFLICTS = 40
MOST_FAILURES = 6
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.8
STALE_READS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The entry is part of the trail."""

    sequence: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotAppended:
    """The entry is certainly not part of the trail."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotKnown:
    """Nobody can tell yet whether the entry is part of the trail."""

    reason: str


AppendOutcome = Appended | NotAppended | NotKnown


class AuditReport(NamedTuple):
    """What a check of the trail found.

    Attributes:
        readable: Whether the trail could be read at all.
        reason: Why it could not, or empty.
        entries: Entries in order of sequence, damaged ones included.
        problems: Damaged places; none for an intact trail.
        tip: The last entry found.
        anchors: Number of independently recorded ends compared with.
    """

    readable: bool
    reason: str
    entries: tuple[dict[str, Any], ...]
    problems: tuple[chain.Problem, ...]
    tip: chain.Tip
    anchors: int

    @property
    def intact(self) -> bool:
        """Whether the trail was read and nothing was found wrong."""
        return self.readable and not self.problems


class _UnreadableError(Exception):
    """The object API did not answer a read."""


def entry_name(deployment: str, sequence: int) -> str:
    """Returns the object name of an entry."""
    return f"{deployment}.{sequence:012d}"


async def append(
    store: interface.ObjectStore,
    deployment: str,
    action: str,
    operator: str,
    detail: dict[str, Any],
    wall: Callable[[], float],
) -> AppendOutcome:
    """Appends an entry to the audit trail.

    Args:
        store: The object API.
        deployment: Fleet whose trail it is.
        action: What was done, such as "propose".
        operator: Who did it.
        detail: JSON-compatible particulars, at most 64 KB encoded.
        wall: Returns wall-clock seconds.

    Returns:
        `Appended` only after the object API has shown the entry.
    """
    if len(chain.canonical(detail)) > MAX_DETAIL_BYTES:
        return NotAppended(f"The detail exceeds {MAX_DETAIL_BYTES} bytes.")
    content = {
        "deployment": deployment,
        "action": action,
        "operator": operator,
        "detail": detail,
        "at_ms": round(wall() * 1000),
        "nonce": secrets.token_hex(16),
    }
    for attempt in range(MOST_CONFLICTS):
        try:
            tip = await read_tip(store, deployment)
        except _UnreadableError as error:
            return NotAppended(str(error))
        outcome = await _append_after(store, tip, content)
        if isinstance(outcome, Appended):
            await _record_tip(store, deployment, outcome)
        if outcome is not None:
            return outcome
        await asyncio.sleep(_pause(attempt))
    return NotAppended("Other writers were first each time.")


async def read_tip(store: interface.ObjectStore, deployment: str) -> chain.Tip:
    """Finds the last entry, starting at the recorded tip.

    Returns:
        The tip; sequence 0 for an empty trail.
    """
    hint = await _get(store, TIP_KIND, deployment)
    tip = tip_from(hint.value) if hint is not None else chain.Tip()
    while True:
        entry = await _get(
            store, ENTRY_KIND, entry_name(deployment, tip.sequence + 1)
        )
        if entry is None:
            return tip
        tip = chain.Tip(tip.sequence + 1, str(entry.value.get("digest")))


def tip_from(value: Any) -> chain.Tip:
    """Reads a tip from a stored value; an unusable one counts as empty."""
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
    """Checks the whole trail.

    Finds missing, altered, replaced and reordered entries, and a cut-off
    end as far as a tip beyond it was recorded: by writers, in `seen` from
    the daemons' evidence, or by the operator from an earlier check.

    Args:
        store: The object API.
        deployment: Fleet whose trail is checked.
        seen: Tips that others recorded.

    Returns:
        The report; not readable if the object API did not answer.
    """
    tips = [tip for tip in seen if tip.sequence > 0]
    try:
        hint = await _get(store, TIP_KIND, deployment)
        if hint is not None:
            tips.append(tip_from(hint.value))
        records, foreign = await _read_entries(store, deployment, tips)
    except _UnreadableError as error:
        return AuditReport(False, str(error), (), (), chain.Tip(), 0)
    problems = foreign + _check(records, tips)
    last = max(records, default=0)
    tip = (
        chain.Tip(last, records[last]["digest"] or "") if last else chain.Tip()
    )
    ordered = tuple(records[sequence] for sequence in sorted(records))
    return AuditReport(True, "", ordered, tuple(problems), tip, len(tips))


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
    """Lists the entries, again while the list is older than a tip."""
    wanted = max((tip.sequence for tip in tips), default=0)
    for attempt in range(STALE_READS):
        items = await _list(store, deployment)
        records, foreign = _by_sequence(items, deployment)
        if max(records, default=0) >= wanted:
            break
        await asyncio.sleep(_pause(attempt))
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


async def _append_after(
    store: interface.ObjectStore, tip: chain.Tip, content: dict[str, Any]
) -> AppendOutcome | None:
    """Creates the entry after `tip`; None if another writer was first."""
    entry = chain.sealed(
        {**content, "sequence": tip.sequence + 1, "previous": tip.digest}
    )
    name = entry_name(entry["deployment"], entry["sequence"])
    labels = {"deployment": entry["deployment"]}
    pending = False
    for attempt in range(MOST_FAILURES):
        outcome = await store.create(ENTRY_KIND, name, entry, labels)
        if isinstance(outcome, interface.Found):
            return Appended(entry["sequence"], entry["digest"])
        if isinstance(outcome, interface.Conflict):
            held = await _holds(store, name, entry) if pending else False
            if held is not None:
                return _appended(entry) if held else None
        pending = pending or isinstance(outcome, interface.Unknown)
        await asyncio.sleep(_pause(attempt))
    reason = getattr(outcome, "reason", "The object API did not answer.")
    return NotKnown(reason) if pending else NotAppended(reason)


def _pause(attempt: int) -> float:
    return min(FIRST_PAUSE_S * 2.0**attempt, LONGEST_PAUSE_S)


def _appended(entry: dict[str, Any]) -> Appended:
    return Appended(entry["sequence"], entry["digest"])


async def _holds(
    store: interface.ObjectStore, name: str, entry: dict[str, Any]
) -> bool | None:
    """Tells whether the stored entry is ours; None if it can't be read."""
    outcome = await store.get(ENTRY_KIND, name)
    if isinstance(outcome, interface.Found):
        return bool(outcome.item.value.get("nonce") == entry["nonce"])
    return None


async def _record_tip(
    store: interface.ObjectStore, deployment: str, appended: Appended
) -> None:
    """Raises the recorded tip; a failure only costs a longer search."""
    value = {"sequence": appended.sequence, "digest": appended.digest}
    labels = {"deployment": deployment}
    for _ in range(MOST_FAILURES):
        found = await store.get(TIP_KIND, deployment)
        if isinstance(found, interface.Missing):
            outcome = await store.create(TIP_KIND, deployment, value, labels)
        elif isinstance(found, interface.Found):
            if tip_from(found.item.value).sequence >= appended.sequence:
                return
            outcome = await store.update(found.item, value)
        else:
            break
        if isinstance(outcome, interface.Found):
            return
    log.warning("evidence: the recorded tip of the audit trail is behind.")


async def _get(
    store: interface.ObjectStore, kind: str, name: str
) -> interface.StoredObject | None:
    outcome = await store.get(kind, name)
    if isinstance(outcome, interface.Unavailable):
        raise _UnreadableError(outcome.reason)
    return outcome.item if isinstance(outcome, interface.Found) else None


async def _list(
    store: interface.ObjectStore, deployment: str
) -> tuple[interface.StoredObject, ...]:
    outcome = await store.list(ENTRY_KIND, {"deployment": deployment})
    if isinstance(outcome, interface.Unavailable):
        raise _UnreadableError(outcome.reason)
    return outcome.items
