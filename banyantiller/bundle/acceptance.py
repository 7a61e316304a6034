"""Rolls a signed proposal: one conditional write of the head accepts it.

The head object of a deployment is created by the first roll and updated by
each later one under the resource version that was read, so of two racing
rolls the object API accepts one. A lost answer is settled by reading back.
"""

import asyncio
from typing import NamedTuple

import structlog

from banyantiller.bundle import descriptions, reading, verification, writing
from banyantiller.bundle.manifest import Accepted
from banyantiller.bundle.operators import Operator
from banyantiller.bundle.outcomes import (
    Damaged,
    HeadFound,
    Lost,
    NotFound,
    NotReached,
    OutOfDate,
    ProposalFound,
    Refused,
    Rolled,
    RollOutcome,
)
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.bundle")

MOST_ANCESTORS = 32
PARTS_AT_ONCE = 8
REPLACE_DAMAGED = (
    "The accepted bundle in the object API is damaged; propose the change"
    " again to replace it."
)


class _Attempt(NamedTuple):
    """One roll: what is to be accepted, and what it follows."""

    store: interface.ObjectStore
    deployment: str
    base: reading.Base
    accepted: Accepted
    digest: str


async def roll(
    store: interface.ObjectStore,
    deployment: str,
    digest: str,
    operator: Operator,
) -> RollOutcome:
    """Makes a signed proposal the accepted bundle.

    Args:
        store: The object API.
        deployment: Fleet that the proposal is for.
        digest: Digest of the proposal, at least 32 digits.
        operator: Who rolls; any operator whose key is trusted.

    Returns:
        `Rolled` once the object API has shown that the bundle is accepted,
        also if an earlier roll had accepted it. Unless it is `Rolled` or
        `NotKnown`, this roll has changed nothing that is in force.
    """
    proposal = await reading.read_proposal(store, deployment, digest)
    if isinstance(proposal, NotFound | Damaged):
        return Refused((descriptions.describe(proposal),))
    if isinstance(proposal, NotReached):
        return proposal
    head = await reading.read_head(store, deployment)
    if isinstance(head, NotReached):
        return head
    accepted = Accepted(
        proposal.manifest,
        proposal.signatures,
        operator.wall(),
        operator.name,
    )
    base = reading.Base.from_head(head)
    attempt = _Attempt(store, deployment, base, accepted, proposal.digest)
    if isinstance(head, HeadFound) and await _is_accepted(attempt, head):
        rolled = _rolled(attempt, head)
        note = rolled.note or "It was accepted before."
        return Rolled(rolled.accepted, rolled.digest, note)
    return await _roll(attempt, operator)


async def _roll(attempt: _Attempt, operator: Operator) -> RollOutcome:
    refused = await _refusal(attempt, operator)
    if refused is not None:
        return refused
    manifest = attempt.accepted.manifest
    detail = {"digest": attempt.digest, "version": manifest.version}
    failed = await operator.audit("roll", detail)
    if failed:
        return NotReached(failed)
    outcome = await _write(attempt)
    result = type(outcome).__name__.lower()
    failed = await operator.audit("roll_result", {**detail, "result": result})
    if failed:
        log.warning("bundle: the result of a roll was not recorded.")
    return outcome


async def _refusal(
    attempt: _Attempt, operator: Operator
) -> OutOfDate | Refused | NotReached | None:
    accepted = attempt.accepted
    reasons = verification.verify(
        accepted, operator.trusted, attempt.deployment, accepted.accepted_at
    )
    if not any(key.name == operator.name for key in operator.trusted):
        reasons += (f"No key of operator '{operator.name}' is trusted.",)
    if reasons:
        return Refused(reasons)
    base, manifest = attempt.base, accepted.manifest
    if manifest.parent == base.digest and manifest.version > base.version:
        return await _check_parts(attempt)
    if base.item is not None and not base.version:
        return Refused((REPLACE_DAMAGED,))
    if base.version < manifest.version - 1:
        return NotReached("it shows an older bundle than was proposed upon")
    return OutOfDate(base.roller, base.version, base.digest)


async def _check_parts(attempt: _Attempt) -> Refused | NotReached | None:
    known = set(attempt.base.parts)
    fresh = [
        part for part in attempt.accepted.manifest.parts if part not in known
    ]
    for start in range(0, len(fresh), PARTS_AT_ONCE):
        batch = fresh[start : start + PARTS_AT_ONCE]
        found = await asyncio.gather(
            *(reading.read_part(attempt.store, part) for part in batch)
        )
        for outcome in found:
            if isinstance(outcome, NotReached):
                return outcome
            if isinstance(outcome, NotFound | Damaged):
                return Refused((descriptions.describe(outcome),))
    return None


async def _write(attempt: _Attempt) -> RollOutcome:
    """Writes the head; a try after a lost answer has the same condition."""
    tries = writing.FailedTries()
    for pause in writing.pauses():
        outcome = await _write_once(attempt)
        if isinstance(outcome, interface.Found):
            return Rolled(attempt.accepted, attempt.digest)
        tries.add(outcome, "the head was changed, but its state cannot be read")
        settled = await _settle(attempt)
        if settled is not None:
            return settled
        await asyncio.sleep(pause)
    return tries.outcome()


async def _write_once(attempt: _Attempt):
    value = reading.head_value(attempt.accepted)
    if attempt.base.item is not None:
        return await attempt.store.update(attempt.base.item, value)
    labels = {"deployment": attempt.deployment}
    return await attempt.store.create(
        reading.HEADS, attempt.deployment, value, labels
    )


async def _settle(attempt: _Attempt) -> RollOutcome | None:
    """Reads back; None while the head tells nothing newer than before."""
    now = await reading.read_head(attempt.store, attempt.deployment)
    if not isinstance(now, HeadFound):
        return None
    was_accepted = await _is_accepted(attempt, now)
    if was_accepted:
        return _rolled(attempt, now)
    version = now.accepted.manifest.version
    if was_accepted is None or version <= attempt.base.version:
        return None
    return Lost(now.accepted.roller, version, now.digest)


async def _is_accepted(attempt: _Attempt, now: HeadFound) -> bool | None:
    """Tells whether a head is the attempt or follows it; None if unclear."""
    if now.digest == attempt.digest:
        return True
    own = attempt.accepted.manifest.version
    manifest = now.accepted.manifest
    for _ in range(MOST_ANCESTORS):
        if manifest.version <= own:
            return False
        if manifest.parent == attempt.digest:
            return True
        found = await reading.read_proposal(
            attempt.store, attempt.deployment, manifest.parent
        )
        if not isinstance(found, ProposalFound):
            return None
        manifest = found.manifest
    return None


def _rolled(attempt: _Attempt, now: HeadFound) -> Rolled:
    if now.digest == attempt.digest:
        return Rolled(now.accepted, now.digest)
    accepted = now.accepted
    note = (
        f"Version {accepted.manifest.version} of '{accepted.roller}' has"
        " followed since."
    )
    return Rolled(attempt.accepted, attempt.digest, note)
