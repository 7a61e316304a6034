"""Appends to the audit trail of changes in the object API.

An entry is created only if no object with its sequence number exists, and it
contains the digest of the entry before it, so concurrent writers can't fork
the trail. After a lost response, the stored entry's nonce shows whether the
write succeeded.
"""

import asyncio
import dataclasses
import secrets
from collections.abc import Callable
from typing import Any

import structlog

from banyantiller.evidence import chain, trail
from banyantiller.evidence.trail import AuditReport, verify
from banyantiller.store import interface

__all__ = [
    "AppendOutcome",
    "AppendUnknown",
    "Appended",
    "AuditReport",
    "NotAppended",
    "append",
    "verify",
]

log = structlog.get_logger("banyantiller.evidence")

MAX_DETAIL_BYTES = 65_536
MAX_CONFLICTS = 40
MAX_FAILURES = 6
INITIAL_PAUSE_S = 0.05
MAX_PAUSE_S = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The entry is part of the trail."""

    sequence: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotAppended:
    """The entry is definitely not part of the trail."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnknown:
    """It is undetermined whether the entry is part of the trail."""

    reason: str


AppendOutcome = Appended | NotAppended | AppendUnknown


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
        deployment: Name of the fleet.
        action: Action that was performed, such as "propose".
        operator: Name of the operator who performed it.
        detail: JSON-compatible details, at most 64 KB encoded.
        wall: Returns wall-clock seconds.

    Returns:
        `Appended` only after the object API has confirmed the entry.
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
    for attempt in range(MAX_CONFLICTS):
        try:
            tip = await trail.read_tip(store, deployment)
        except trail.UnreadableError as error:
            return NotAppended(str(error))
        outcome = await _append_after(store, tip, content)
        if isinstance(outcome, Appended):
            await _record_tip(store, deployment, outcome)
        if outcome is not None:
            return outcome
        await asyncio.sleep(_pause(attempt))
    return NotAppended("Each attempt lost to another writer.")


async def _append_after(
    store: interface.ObjectStore, tip: chain.Tip, content: dict[str, Any]
) -> AppendOutcome | None:
    """Creates the entry after `tip`; None if another writer took its place."""
    entry = chain.sealed(
        {**content, "sequence": tip.sequence + 1, "previous": tip.digest}
    )
    name = trail.entry_name(entry["deployment"], entry["sequence"])
    labels = {"deployment": entry["deployment"]}
    pending = False
    for attempt in range(MAX_FAILURES):
        outcome = await store.create(trail.ENTRY_KIND, name, entry, labels)
        if isinstance(outcome, interface.Found):
            return Appended(entry["sequence"], entry["digest"])
        if isinstance(outcome, interface.Conflict):
            is_stored = (
                await _is_stored(store, name, entry) if pending else False
            )
            if is_stored is not None:
                return _appended(entry) if is_stored else None
        pending = pending or isinstance(outcome, interface.Unknown)
        await asyncio.sleep(_pause(attempt))
    reason = getattr(outcome, "reason", "The object API did not answer.")
    return AppendUnknown(reason) if pending else NotAppended(reason)


def _pause(attempt: int) -> float:
    return min(INITIAL_PAUSE_S * 2.0**attempt, MAX_PAUSE_S)


def _appended(entry: dict[str, Any]) -> Appended:
    return Appended(entry["sequence"], entry["digest"])


async def _is_stored(
    store: interface.ObjectStore, name: str, entry: dict[str, Any]
) -> bool | None:
    """Returns whether this writer's entry is stored; None if unreadable."""
    outcome = await store.get(trail.ENTRY_KIND, name)
    if isinstance(outcome, interface.Found):
        return bool(outcome.item.value.get("nonce") == entry["nonce"])
    return None


async def _record_tip(
    store: interface.ObjectStore, deployment: str, appended: Appended
) -> None:
    """Advances the recorded tip; a failure only makes later searches longer."""
    value = {"sequence": appended.sequence, "digest": appended.digest}
    labels = {"deployment": deployment}
    for _ in range(MAX_FAILURES):
        found = await store.get(trail.TIP_KIND, deployment)
        if isinstance(found, interface.Missing):
            outcome = await store.create(
                trail.TIP_KIND, deployment, value, labels
            )
        elif isinstance(found, interface.Found):
            if trail.parse_tip(found.item.value).sequence >= appended.sequence:
                return
            outcome = await store.update(found.item, value)
        else:
            break
        if isinstance(outcome, interface.Found):
            return
    log.warning("evidence: the recorded audit trail tip could not be updated.")
