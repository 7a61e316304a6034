"""Rolls a signed proposal: one conditional write of the head accepts it.

The head object of a deployment is created by the first roll and updated by
each later one under the resource version that was read, so of two racing
rolls the object API accepts one. A lost answer is settled by reading back.
"""

import asyncio
from typing import NamedTuple

import structlog

from banyantiller.bundle import reading, verification, writing
from banyantiller.bundle.manifest import Accepted, Part
from banyantiller.bundle.outcomes import (
    Damaged,
    HeadFound,
    Lost,
    NoHead,
    NotFound,
    NotKnown,
    NotReached,
    OutOfDate,
    ProposalFound,
    Refused,
    Rolled,
    RollOutcome,
)
from banyantiller.bundle.proposals import Operator
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.bundle")

MOST_ANCESTORS = 32
PARTS_AT_ONCE = 8


class _Attempt(NamedTuple):
    """One roll: what is to be accepted, and after which head."""

    store: interface.ObjectStore
    deployment: str
    head: HeadFound | NoHead
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
    if isinstance(proposal, NotFound):
        return Refused((f"There is no {proposal.what}.",))
    if isinstance(proposal, Damaged):
        return Refused((proposal.reason,))
    if isinstance(proposal, NotReached):
        return proposal
    head = await reading.read_head(store, deployment)
    if isinstance(head, NotReached):
        return head
    if isinstance(head, Damaged):
        return Refused((head.reason,))
    now = operator.wall()
    accepted = Accepted(
        proposal.manifest, proposal.signatures, now, operator.name
    )
    attempt = _Attempt(store, deployment, head, accepted, proposal.digest)
    return await _roll(attempt, operator)


async def _roll(attempt: _Attempt, operator: Operator) -> RollOutcome:
    if isinstance(attempt.head, HeadFound):
        earlier = await _judge(attempt, attempt.head)
        if isinstance(earlier, Rolled):
            note = earlier.note or "It was accepted before."
            return Rolled(earlier.accepted, earlier.digest, note)
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
    if not _follows(attempt):
        return _not_following(attempt)
    return await _check_parts(attempt)


def _follows(attempt: _Attempt) -> bool:
    manifest = attempt.accepted.manifest
    head = attempt.head
    if isinstance(head, NoHead):
        return manifest.version == 1 and not manifest.parent
    before = head.accepted.manifest
    return (
        manifest.parent == head.digest
        and manifest.version == before.version + 1
    )


def _not_following(attempt: _Attempt) -> OutOfDate | NotReached:
    head = attempt.head
    version = 0
    if isinstance(head, HeadFound):
        version = head.accepted.manifest.version
    if version < attempt.accepted.manifest.version - 1:
        return NotReached("its answers are older than the proposal")
    if isinstance(head, NoHead):
        return OutOfDate("", 0, "")
    return OutOfDate(head.accepted.roller, version, head.digest)


async def _check_parts(attempt: _Attempt) -> Refused | NotReached | None:
    head = attempt.head
    known: set[Part] = set()
    if isinstance(head, HeadFound):
        known = set(head.accepted.manifest.parts)
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
            if isinstance(outcome, NotFound):
                return Refused((f"There is no {outcome.what}.",))
            if isinstance(outcome, Damaged):
                return Refused((outcome.reason,))
    return None


async def _write(attempt: _Attempt) -> RollOutcome:
    """Writes the head; a try after a lost answer has the same condition."""
    unsure = False
    reason = ""
    for pause in writing.pauses():
        outcome = await _write_once(attempt)
        if isinstance(outcome, interface.Found):
            return Rolled(attempt.accepted, attempt.digest)
        if isinstance(outcome, interface.Unavailable | interface.Unknown):
            unsure = unsure or isinstance(outcome, interface.Unknown)
            reason = outcome.reason
        else:
            reason = "the head was changed, but its state cannot be read"
        settled = await _settle(attempt)
        if settled is not None:
            return settled
        await asyncio.sleep(pause)
    return NotKnown(reason) if unsure else NotReached(reason)


async def _write_once(attempt: _Attempt):
    value = reading.head_value(attempt.accepted)
    if isinstance(attempt.head, HeadFound):
        return await attempt.store.update(attempt.head.item, value)
    labels = {"deployment": attempt.deployment}
    return await attempt.store.create(
        reading.HEADS, attempt.deployment, value, labels
    )


async def _settle(attempt: _Attempt) -> RollOutcome | None:
    """Reads back; None while the head is still the one that was read."""
    now = await reading.read_head(attempt.store, attempt.deployment)
    if isinstance(now, HeadFound):
        return await _judge(attempt, now)
    return None


async def _judge(attempt: _Attempt, now: HeadFound) -> Rolled | Lost | None:
    """Compares a head with the attempt; None if it tells nothing."""
    accepted = now.accepted
    version = accepted.manifest.version
    own = attempt.accepted.manifest.version
    if now.digest == attempt.digest:
        return Rolled(accepted, now.digest)
    if version < own:
        return None
    was_accepted = await _is_ancestor(attempt, now)
    if was_accepted is None:
        return None
    if not was_accepted:
        return Lost(accepted.roller, version, now.digest)
    note = f"Version {version} of '{accepted.roller}' has followed since."
    return Rolled(attempt.accepted, attempt.digest, note)


async def _is_ancestor(attempt: _Attempt, later: HeadFound) -> bool | None:
    """Tells whether a later head follows the attempt; None if unreadable."""
    manifest = later.accepted.manifest
    own = attempt.accepted.manifest.version
    for _ in range(MOST_ANCESTORS):
        if manifest.version == own + 1:
            return manifest.parent == attempt.digest
        if manifest.version <= own:
            return False
        found = await reading.read_proposal(
            attempt.store, attempt.deployment, manifest.parent
        )
        if not isinstance(found, ProposalFound):
            return None
        manifest = found.manifest
    return None


def describe(outcome: RollOutcome | NotFound | Damaged) -> str:
    """Returns one or more sentences on an outcome that is no success."""
    match outcome:
        case NotFound(what):
            return f"There is no {what}."
        case Damaged(reason):
            return reason
        case Lost(winner, version, digest):
            return (
                f"Operator '{winner}' was first: version {version}"
                f" ({digest[:12]}) is in force. Propose the change again."
            )
        case OutOfDate(roller, version, digest):
            return (
                f"The proposal is out of date: version {version}"
                f" ({digest[:12] or 'none'}) of '{roller}' is in force."
                " Propose the change again."
            )
        case Refused(reasons):
            return " ".join(reasons)
        case NotReached(reason):
            return f"Nothing was changed; the object API failed: {reason}."
        case NotKnown(reason):
            return (
                "It is not known whether the write took effect:"
                f" {reason}. Run the same command again to find out."
            )
    return ""
