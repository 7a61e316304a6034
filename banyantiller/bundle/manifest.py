"""Manifests: what is proposed, signed and accepted.

A bundle is split into one part a service. A part is canonical JSON (sorted
keys, no spaces, UTF-8) and is named by its hex SHA-256. The manifest lists
the parts; operators sign the manifest's canonical JSON.
"""

from typing import NamedTuple


class Part(NamedTuple):
    """Reference to one part.

    Attributes:
        service: Service name.
        digest: Hex SHA-256 of the part's canonical JSON.
        size: Length of the canonical JSON in bytes.
    """

    service: str
    digest: str
    size: int


class Manifest(NamedTuple):
    """The signed statement of one bundle version.

    Attributes:
        deployment: Fleet that the bundle is for.
        version: 1 for the first bundle, then higher than the parent's.
        parent: Digest of the parent manifest, empty for the first.
        proposer: Operator that proposed it.
        description: What the change is for.
        parts: One part a service, sorted by service name.
    """

    deployment: str
    version: int
    parent: str
    proposer: str
    description: str
    parts: tuple[Part, ...]


class Signature(NamedTuple):
    """One operator's Ed25519 signature of a manifest.

    Attributes:
        operator: Name in the trusted keys.
        role: "propose" or "sign".
        value: Hex signature over role, NUL and the canonical manifest.
    """

    operator: str
    role: str
    value: str


class AcceptedBundle(NamedTuple):
    """A bundle that the object API accepted, as daemons pass it on.

    Attributes:
        manifest: What was signed.
        signatures: The proposer's and at least one other signer's.
        accepted_at: Wall-clock seconds at which the roll was written.
        roller: Operator that rolled it.
    """

    manifest: Manifest
    signatures: tuple[Signature, ...]
    accepted_at: float
    roller: str
