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
    DamagedObject,
    NotFound,
    NotReached,
    ProposalFound,
    Refused,
    Signed,
    SignOutcome,
)
from banyantiller.store import interface


class _SignRequest(NamedTuple):
    """A proposal to be signed and the operator that signs it."""

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
        `Signed` once the object API has confirmed the signature.
    """
    request = _SignRequest(store, deployment, digest, operator)
    proposal = await _read_proposal(request)
    if not isinstance(proposal, ProposalFound):
        return proposal
    signature = _make_signature(request, proposal)
    if signature in proposal.signatures:
        return Signed(proposal.manifest, proposal.digest)
    refusal = await _find_refusal(request, proposal, signature)
    if refusal is not None:
        return refusal
    manifest = proposal.manifest
    detail = {"digest": proposal.digest, "version": manifest.version}
    failure = await operator.audit("sign", detail)
    if failure:
        return NotReached(failure)
    return await _write_signature(request, proposal)


async def _write_signature(
    request: _SignRequest, proposal: ProposalFound
) -> SignOutcome:
    """Adds the signature, with retries.

    A conflicting update is retried on the proposal as it is then, so that
    signatures which were added meanwhile are kept.
    """
    attempts = writing.FailedAttempts()
    current: Any = proposal
    for pause in writing.retry_pauses():
        if isinstance(current, ProposalFound):
            signature = _make_signature(request, current)
            if signature in current.signatures:
                return Signed(current.manifest, current.digest)
            outcome = await _update_proposal(request.store, current, signature)
            if isinstance(outcome, interface.Found):
                return Signed(current.manifest, current.digest)
            attempts.record(
                outcome, "other operators updated the proposal first"
            )
        await asyncio.sleep(pause)
        current = await _read_proposal(request)
    return attempts.outcome()


async def _read_proposal(
    request: _SignRequest,
) -> ProposalFound | Refused | NotReached:
    found = await reading.read_proposal(
        request.store, request.deployment, request.digest
    )
    if isinstance(found, NotFound | DamagedObject):
        return Refused((descriptions.describe(found),))
    return found


def _make_signature(
    request: _SignRequest, proposal: ProposalFound
) -> Signature:
    operator = request.operator
    return signing.sign(
        operator.private, operator.name, signing.SIGN, proposal.manifest
    )


async def _find_refusal(
    request: _SignRequest, proposal: ProposalFound, signature: Signature
) -> Refused | NotReached | None:
    """Checks the manifest, the signatures and the content before signing."""
    if len(proposal.signatures) >= reading.MAX_SIGNATURES:
        return Refused(("The proposal has too many signatures.",))
    proposer_signatures = tuple(
        item for item in proposal.signatures if item.role == signing.PROPOSE
    )
    operator = request.operator
    reasons = verification.check_manifest(
        proposal.manifest, request.deployment
    ) + verification.check_signatures(
        proposal.manifest,
        (*proposer_signatures, signature),
        operator.trusted,
        operator.wall(),
    )
    if reasons:
        return Refused(reasons)
    content = await history.read_bundle(request.store, proposal.manifest)
    if isinstance(content, NotReached):
        return content
    if not isinstance(content, Bundle):
        return Refused((descriptions.describe(content),))
    errors = validity.find_errors(content)
    return Refused(errors) if errors else None


async def _update_proposal(
    store: interface.ObjectStore,
    proposal: ProposalFound,
    signature: Signature,
) -> interface.UpdateOutcome:
    signatures = [*proposal.signatures, signature]
    value = dict(proposal.item.value)
    value["signatures"] = [plain.to_plain(item) for item in signatures]
    return await store.update(proposal.item, value)
