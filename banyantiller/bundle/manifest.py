"""Manifests of bundles, their signatures and acceptance.

A bundle is split into one part per service. A part is canonical JSON (sorted
keys, no spaces, UTF-8) and is identified by its hex SHA-256. The manifest
lists the parts; operators sign the canonical JSON of the manifest.
"""

from typing import NamedTuple


class Part(NamedTuple):
    """Reference to the part of one service.

    Attributes:
        service: Service name.
        digest: Hex SHA-256 of the part's canonical JSON.
        size: Length of the canonical JSON in bytes.
    """

    service: str
    digest: str
    size: int


class Manifest(NamedTuple):
    """Description of one bundle version, which operators sign.

    Attributes:
        deployment: Fleet that the bundle is for.
        version: 1 for the first bundle, then higher than the parent's.
        parent: Digest of the parent manifest, empty for the first.
        proposer: Operator that proposed it.
        description: Purpose of the change.
        parts: One part per service, sorted by service name.
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
        operator: Name of the operator in the trusted keys.
        role: "propose" or "sign".
        value: Hex signature over the role, a NUL byte and the canonical JSON
            of the manifest.
    """

    operator: str
    role: str
    value: str


class AcceptedBundle(NamedTuple):
    """A bundle that was accepted, as the object API and daemons store it.

    Attributes:
        manifest: The signed manifest.
        signatures: Signatures of the proposer and at least one other operator.
        accepted_at: Wall-clock time of the roll, in seconds.
        roller: Operator that rolled it.
    """

    manifest: Manifest
    signatures: tuple[Signature, ...]
    accepted_at: float
    roller: str
