"""Reads accepted bundles, parts and proposals from the object API."""

from typing import Any, NamedTuple

from banyantiller.bundle import canonical, plain
from banyantiller.bundle.manifest import (
    AcceptedBundle,
    Manifest,
    Part,
    Signature,
)
from banyantiller.bundle.outcomes import (
    DamagedObject,
    HeadFound,
    NoHead,
    NotFound,
    NotReached,
    PartFound,
    ProposalFound,
    ReadHead,
    ReadPart,
    ReadProposal,
)
from banyantiller.store import interface

HEADS = "bundleheads"
PARTS = "bundleparts"
PROPOSALS = "bundleproposals"

SHORT_DIGEST_CHARS = 32
MAX_SIGNATURES = 16


async def read_head(store: interface.ObjectStore, deployment: str) -> ReadHead:
    """Reads the accepted bundle; its signatures are not verified here."""
    outcome = await store.get(HEADS, deployment)
    if isinstance(outcome, interface.Unavailable):
        return NotReached(outcome.reason)
    if isinstance(outcome, interface.Missing):
        return NoHead()
    return decode_head(outcome.item)


def decode_head(item: interface.StoredObject) -> HeadFound | DamagedObject:
    """Decodes a head object that a read or a watch returned."""
    try:
        accepted = canonical.decode_accepted(_field_bytes(item, "accepted"))
    except canonical.CanonicalError as error:
        return DamagedObject(f"The accepted bundle is damaged: {error}.", item)
    digest = canonical.manifest_digest(accepted.manifest)
    return HeadFound(accepted, digest, item)


def head_value(accepted: AcceptedBundle) -> dict[str, Any]:
    """Builds the value of a head; only "accepted" is decoded again.

    The other fields are for people who inspect the object.
    """
    return {
        "accepted": canonical.encode_accepted(accepted).decode(),
        "digest": canonical.manifest_digest(accepted.manifest),
        "version": accepted.manifest.version,
    }


class ProposalBase(NamedTuple):
    """The state of the head that the next bundle is based on.

    Attributes:
        version: Version in force, 0 if there is none or it is unreadable.
        digest: Digest that the next bundle has as its parent, or empty.
        roller: Operator that rolled the bundle in force, or empty.
        parts: Parts of the bundle in force, which are already stored.
        item: The head object to replace, or None if there is none.
    """

    version: int = 0
    digest: str = ""
    roller: str = ""
    parts: tuple[Part, ...] = ()
    item: interface.StoredObject | None = None

    @classmethod
    def from_head(
        cls, head: HeadFound | NoHead | DamagedObject
    ) -> "ProposalBase":
        """Builds the base from the outcome of reading the head.

        A damaged head is identified by the digest of its content, so that a
        new bundle can replace it.
        """
        if isinstance(head, HeadFound):
            accepted = head.accepted
            manifest = accepted.manifest
            return cls(
                manifest.version,
                head.digest,
                accepted.roller,
                manifest.parts,
                head.item,
            )
        if isinstance(head, NoHead) or head.item is None:
            return cls()
        text = str(head.item.value.get("accepted"))
        digest = canonical.digest(text.encode("utf-8", "replace"))
        return cls(digest=digest, item=head.item)


async def read_part(store: interface.ObjectStore, part: Part) -> ReadPart:
    """Reads a part and checks it against its reference in the manifest."""
    outcome = await store.get(PARTS, part.digest)
    if isinstance(outcome, interface.Unavailable):
        return NotReached(outcome.reason)
    if isinstance(outcome, interface.Missing):
        return NotFound(f"part {part.digest[:SHORT_DIGEST_CHARS]}")
    try:
        data = _field_bytes(outcome.item, "data")
        return PartFound(canonical.decode_part(data, part), data)
    except canonical.CanonicalError as error:
        return DamagedObject(f"A part is damaged: {error}.")


def part_value(part: Part, data: bytes, stored_at: float) -> dict[str, Any]:
    """Builds the value of a part object."""
    return {
        "service": part.service,
        "data": data.decode(),
        "stored_at": stored_at,
    }


def stored_at(value: dict[str, Any]) -> float:
    """Returns when a part was last stored, in wall-clock seconds."""
    at = value.get("stored_at")
    return float(at) if isinstance(at, int | float) else 0.0


def proposal_name(deployment: str, digest: str) -> str:
    """Returns the name of a proposal object."""
    return f"{deployment}.{digest[:SHORT_DIGEST_CHARS]}"


def proposal_value(
    manifest: Manifest, signatures: tuple[Signature, ...], proposed_at: float
) -> dict[str, Any]:
    """Builds the value of a proposal object."""
    return {
        "manifest": canonical.encode_manifest(manifest).decode(),
        "signatures": [plain.to_plain(item) for item in signatures],
        "proposed_at": proposed_at,
    }


async def read_proposal(
    store: interface.ObjectStore, deployment: str, digest: str
) -> ReadProposal:
    """Reads a proposal by its digest, or by the first 32 digits of it."""
    outcome = await store.get(PROPOSALS, proposal_name(deployment, digest))
    if isinstance(outcome, interface.Unavailable):
        return NotReached(outcome.reason)
    if isinstance(outcome, interface.Missing):
        return NotFound(f"proposal {digest[:SHORT_DIGEST_CHARS]}")
    found = decode_proposal(outcome.item)
    if isinstance(found, ProposalFound) and not found.digest.startswith(digest):
        return DamagedObject("The proposal's manifest was altered.")
    return found


def decode_proposal(
    item: interface.StoredObject,
) -> ProposalFound | DamagedObject:
    """Decodes a proposal object; its signatures are not verified here."""
    try:
        manifest = canonical.decode_manifest(_field_bytes(item, "manifest"))
        signatures = plain.from_plain(
            item.value.get("signatures"), tuple[Signature, ...], "signatures"
        )
        proposed_at = plain.from_plain(
            item.value.get("proposed_at"), float, "proposed_at"
        )
    except ValueError as error:
        return DamagedObject(f"The proposal is damaged: {error}.")
    digest = canonical.manifest_digest(manifest)
    return ProposalFound(manifest, digest, signatures, proposed_at, item)


def _field_bytes(item: interface.StoredObject, field: str) -> bytes:
    text = item.value.get(field)
    if not isinstance(text, str):
        raise canonical.CanonicalError(f"'{field}' is missing")
    try:
        return text.encode("utf-8")
    except UnicodeEncodeError as error:
        raise canonical.CanonicalError(f"'{field}' is not UTF-8") from error
