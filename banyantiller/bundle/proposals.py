"""Proposes bundles and signs proposals."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from banyantiller.bundle import (
    canonical,
    plain,
    reading,
    signing,
    verification,
    writing,
)
from banyantiller.bundle.manifest import Manifest, Part, Signature
from banyantiller.bundle.options import Bundle
from banyantiller.bundle.outcomes import (
    Damaged,
    HeadFound,
    NotFound,
    NotKnown,
    NotReached,
    ProposalFound,
    Proposed,
    ProposeOutcome,
    Refused,
    Signed,
    SignOutcome,
)
from banyantiller.config.defaults import TrustedKey
from banyantiller.store import interface

Audit = Callable[[str, dict[str, Any]], Awaitable[str]]
"""Records an action and its particulars; returns why it failed, or ""."""


class Operator(NamedTuple):
    """Who acts, and what is needed to act and to be recorded.

    Attributes:
        name: Name in the trusted keys.
        private: Private key as 64 hex digits.
        trusted: Keys of all operators.
        audit: Records an action in the audit trail before it is done.
        wall: Returns wall-clock seconds.
    """

    name: str
    private: str
    trusted: tuple[TrustedKey, ...]
    audit: Audit
    wall: Callable[[], float]


async def propose(
    store: interface.ObjectStore,
    deployment: str,
    bundle: Bundle,
    operator: Operator,
) -> ProposeOutcome:
    """Proposes a bundle that follows the one in force.

    Args:
        store: The object API.
        deployment: Fleet that the bundle is for.
        bundle: Its checked content.
        operator: The proposer.

    Returns:
        `Proposed` once the proposal and all its parts are stored. Proposing
        the same content again finds the same proposal.
    """
    head = await reading.read_head(store, deployment)
    if isinstance(head, NotReached):
        return head
    if isinstance(head, Damaged):
        return Refused((head.reason,))
    parts = canonical.split(bundle)
    manifest = _next_manifest(head, deployment, bundle, operator.name, parts)
    signature = signing.sign(
        operator.private, operator.name, signing.PROPOSE, manifest
    )
    now = operator.wall()
    reasons = verification.check_manifest(
        manifest, deployment
    ) + verification.check_proposer(
        manifest, (signature,), operator.trusted, now
    )
    if reasons:
        return Refused(reasons)
    known = head.accepted.manifest.parts if isinstance(head, HeadFound) else ()
    failed = await _store_parts(store, parts, set(known))
    if failed is not None:
        return failed
    return await _store_proposal(store, manifest, signature, operator, now)


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
    recorded = False
    unsure = False
    reason = ""
    for pause in writing.pauses():
        proposal = await reading.read_proposal(store, deployment, digest)
        if isinstance(proposal, NotFound | Damaged):
            return Refused((_sentence(proposal),))
        if isinstance(proposal, ProposalFound):
            signature = signing.sign(
                operator.private, operator.name, signing.SIGN, proposal.manifest
            )
            if signature in proposal.signatures:
                return Signed(proposal.manifest, proposal.digest)
            reasons = _refusals(proposal, signature, deployment, operator)
            if reasons:
                return Refused(reasons)
            if not recorded:
                failed = await operator.audit("sign", _detail(proposal))
                if failed:
                    return NotReached(failed)
                recorded = True
            outcome = await _add_signature(store, proposal, signature)
            if isinstance(outcome, interface.Found):
                return Signed(proposal.manifest, proposal.digest)
            unsure = unsure or isinstance(outcome, interface.Unknown)
            reason = getattr(outcome, "reason", "others signed first")
        else:
            reason = proposal.reason
        await asyncio.sleep(pause)
    return NotKnown(reason) if unsure else NotReached(reason)


def _next_manifest(
    head: Any,
    deployment: str,
    bundle: Bundle,
    proposer: str,
    parts: dict[str, tuple[Part, bytes]],
) -> Manifest:
    found = isinstance(head, HeadFound)
    return Manifest(
        deployment=deployment,
        version=head.accepted.manifest.version + 1 if found else 1,
        parent=head.digest if found else "",
        proposer=proposer,
        description=bundle.description,
        parts=tuple(part for part, _ in parts.values()),
    )


async def _store_parts(
    store: interface.ObjectStore,
    parts: dict[str, tuple[Part, bytes]],
    known: set[Part],
) -> Refused | NotReached | NotKnown | None:
    for part, data in parts.values():
        if part in known:
            continue
        value = reading.part_value(part, data)
        if writing.value_size(value) > interface.MAX_VALUE_BYTES:
            message = f"Service '{part.service}' is too large for one object."
            return Refused((message,))
        outcome = await writing.ensure(
            store,
            reading.PARTS,
            part.digest,
            value,
            {"service": part.service},
            lambda item, value=value: item.value == value,
        )
        if isinstance(outcome, Damaged):
            return Refused((outcome.reason,))
        if isinstance(outcome, NotReached | NotKnown):
            return outcome
    return None


async def _store_proposal(
    store: interface.ObjectStore,
    manifest: Manifest,
    signature: Signature,
    operator: Operator,
    now: float,
) -> ProposeOutcome:
    digest = canonical.manifest_digest(manifest)
    detail = {"digest": digest, "version": manifest.version}
    failed = await operator.audit("propose", detail)
    if failed:
        return NotReached(failed)
    value = reading.proposal_value(manifest, (signature,), now)
    outcome = await writing.ensure(
        store,
        reading.PROPOSALS,
        reading.proposal_name(manifest.deployment, digest),
        value,
        {"deployment": manifest.deployment},
        lambda item: item.value.get("manifest") == value["manifest"],
    )
    if isinstance(outcome, Damaged):
        return Refused((outcome.reason,))
    if isinstance(outcome, NotReached | NotKnown):
        return outcome
    return Proposed(manifest, digest)


def _refusals(
    proposal: ProposalFound,
    signature: Signature,
    deployment: str,
    operator: Operator,
) -> tuple[str, ...]:
    signatures = (*proposal.signatures, signature)
    if len(signatures) > reading.MAX_SIGNATURES:
        return ("The proposal has too many signatures.",)
    proposed = tuple(
        item for item in signatures if item.role == signing.PROPOSE
    )
    return verification.check_manifest(
        proposal.manifest, deployment
    ) + verification.check_signatures(
        proposal.manifest,
        (*proposed, signature),
        operator.trusted,
        operator.wall(),
    )


async def _add_signature(
    store: interface.ObjectStore,
    proposal: ProposalFound,
    signature: Signature,
) -> interface.UpdateOutcome:
    signatures = [*proposal.signatures, signature]
    value = dict(proposal.item.value)
    value["signatures"] = [plain.to_plain(item) for item in signatures]
    return await store.update(proposal.item, value)


def _detail(proposal: ProposalFound) -> dict[str, Any]:
    manifest = proposal.manifest
    return {"digest": proposal.digest, "version": manifest.version}


def _sentence(problem: NotFound | Damaged) -> str:
    if isinstance(problem, Damaged):
        return problem.reason
    return f"There is no {problem.what}."
