"""Signs a proposal as a second operator."""

import asyncio
from typing import Any, NamedTuple

from banyantiller.bundle import (
    descriptions,
    history,
    plain,
    reading,
    signing,
    validity,
    verification,
    writing,
)
from banyantiller.bundle.manifest import Signature
from banyantiller.bundle.operators import Operator
from banyantiller.bundle.options import Bundle
from banyantiller.bundle.outcomes import (
    Damaged,
    NotFound,
    NotReached,
    ProposalFound,
    Refused,
    Signed,
    SignOutcome,
)
from banyantiller.store import interface


class _Attempt(NamedTuple):
    """One operator's will to sign a proposal."""

    store: interface.ObjectStore
    deployment: str
    digest: str
    operator: Operator


async def sign(
    store: interface.ObjectStore,
    deployment: str,
    digest: str,
    operator: Operator,
) -> SignOutcome:
    """Adds the operator's signature to a proposal.

    Args:
        store: The object API.
        deployment: Fleet that the proposal is for.
        digest: Digest of the proposal, at least 32 digits.
        operator: The signer, who must not be the proposer.

    Returns:
        `Signed` once the object API has shown the signature.
    """
    attempt = _Attempt(store, deployment, digest, operator)
    proposal = await _read(attempt)
    if not isinstance(proposal, ProposalFound):
        return proposal
    signature = _signature(attempt, proposal)
    if signature in proposal.signatures:
        return Signed(proposal.manifest, proposal.digest)
    refused = await _refusal(attempt, proposal, signature)
    if refused is not None:
        return refused
    manifest = proposal.manifest
    detail = {"digest": proposal.digest, "version": manifest.version}
    failed = await operator.audit("sign", detail)
    if failed:
        return NotReached(failed)
    return await _write(attempt, proposal)


async def _write(attempt: _Attempt, proposal: ProposalFound) -> SignOutcome:
    """Adds the signature, also beside one that was added meanwhile."""
    tries = writing.FailedTries()
    current: Any = proposal
    for pause in writing.pauses():
        if isinstance(current, ProposalFound):
            signature = _signature(attempt, current)
            if signature in current.signatures:
                return Signed(current.manifest, current.digest)
            outcome = await _add(attempt.store, current, signature)
            if isinstance(outcome, interface.Found):
                return Signed(current.manifest, current.digest)
            tries.add(outcome, "others wrote first")
        await asyncio.sleep(pause)
        current = await _read(attempt)
    return tries.outcome()


async def _read(attempt: _Attempt) -> ProposalFound | Refused | NotReached:
    found = await reading.read_proposal(
        attempt.store, attempt.deployment, attempt.digest
    )
    if isinstance(found, NotFound | Damaged):
        return Refused((descriptions.describe(found),))
    return found


def _signature(attempt: _Attempt, proposal: ProposalFound) -> Signature:
    operator = attempt.operator
    return signing.sign(
        operator.private, operator.name, signing.SIGN, proposal.manifest
    )


async def _refusal(
    attempt: _Attempt, proposal: ProposalFound, signature: Signature
) -> Refused | NotReached | None:
    """Judges what would be signed: its form, its proposer, its content."""
    if len(proposal.signatures) >= reading.MAX_SIGNATURES:
        return Refused(("The proposal has too many signatures.",))
    proposed = tuple(
        item for item in proposal.signatures if item.role == signing.PROPOSE
    )
    operator = attempt.operator
    reasons = verification.check_manifest(
        proposal.manifest, attempt.deployment
    ) + verification.check_signatures(
        proposal.manifest,
        (*proposed, signature),
        operator.trusted,
        operator.wall(),
    )
    if reasons:
        return Refused(reasons)
    content = await history.read_bundle(attempt.store, proposal.manifest)
    if isinstance(content, NotReached):
        return content
    if not isinstance(content, Bundle):
        return Refused((descriptions.describe(content),))
    faults = validity.faults(content)
    return Refused(faults) if faults else None


async def _add(
    store: interface.ObjectStore,
    proposal: ProposalFound,
    signature: Signature,
) -> interface.UpdateOutcome:
    signatures = [*proposal.signatures, signature]
    value = dict(proposal.item.value)
    value["signatures"] = [plain.to_plain(item) for item in signatures]
    return await store.update(proposal.item, value)
