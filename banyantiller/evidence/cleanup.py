"""Removes expired evidence in small passes.

Every writer runs a pass from time to time, so the evidence of daemons that no
longer exist is removed as well. Each pass is bounded; all passes of a fleet
together remove more than the fleet writes.
"""

import random

import msgspec
import structlog

from banyantiller.evidence import layout
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.evidence")

DAY_MS = 86_400_000
MAX_DAYS_LATE = 3
MAX_DELETED = 50


async def remove_expired(
    store: interface.ObjectStore,
    deployment: str,
    now_ms: int,
    retention_days: int,
    rng: random.Random,
) -> int:
    """Removes some blocks and ended runs that exceed their retention.

    Args:
        store: The object API.
        deployment: Name of the fleet.
        now_ms: Wall-clock milliseconds.
        retention_days: Days for which evidence is kept.
        rng: Random source that selects the day and the order of removal.

    Returns:
        Number of objects removed.
    """
    late_days = rng.randint(1, MAX_DAYS_LATE)
    limit_ms = now_ms - retention_days * DAY_MS
    day = layout.day_of(limit_ms - late_days * DAY_MS)
    labels = {"deployment": deployment, "day": day}
    expired = await _list(store, layout.BLOCK_KIND, labels)
    runs = await _list(store, layout.RUN_KIND, {"deployment": deployment})
    expired += [item for item in runs if _ended_before(item, limit_ms)]
    rng.shuffle(expired)
    removed = 0
    for item in expired[:MAX_DELETED]:
        outcome = await store.delete(item)
        if isinstance(outcome, interface.Unavailable | interface.Unknown):
            break
        removed += isinstance(outcome, interface.Found)
    if removed:
        log.info("evidence: removed expired objects.", removed=removed)
    return removed


async def _list(
    store: interface.ObjectStore, kind: str, labels: dict[str, str]
) -> list[interface.StoredObject]:
    outcome = await store.list(kind, labels)
    if isinstance(outcome, interface.Unavailable):
        return []
    return list(outcome.items)


def _ended_before(item: interface.StoredObject, limit_ms: int) -> bool:
    try:
        run = layout.parse_run(item.value)
    except msgspec.ValidationError:
        return False
    return 0 < run.ended_ms < limit_ms
