"""Tagged outcomes of proposing, signing, rolling and reading bundles.

The lower-case class names of the members of `RollOutcome` are stored in the
audit trail, so these classes keep their names.
"""

import dataclasses

from banyantiller.bundle.manifest import AcceptedBundle, Manifest, Signature
from banyantiller.bundle.options import Service
from banyantiller.store.interface import StoredObject


@dataclasses.dataclass(frozen=True, slots=True)
class HeadFound:
    """A bundle was accepted; `item` is the head object that holds it."""

    accepted: AcceptedBundle
    digest: str
    item: StoredObject


@dataclasses.dataclass(frozen=True, slots=True)
class NoHead:
    """No bundle was ever accepted."""


@dataclasses.dataclass(frozen=True, slots=True)
class PartFound:
    """A part that matches its reference; `data` is its canonical JSON."""

    service: Service
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalFound:
    """A proposal; `item` is the object that stores it."""

    manifest: Manifest
    digest: str
    signatures: tuple[Signature, ...]
    proposed_at: float
    item: StoredObject


@dataclasses.dataclass(frozen=True, slots=True)
class NotFound:
    """The object API has no such object."""

    what: str


@dataclasses.dataclass(frozen=True, slots=True)
class DamagedObject:
    """The object was altered or does not have the expected form.

    Attributes:
        reason: One sentence.
        item: The object, if it may be replaced.
    """

    reason: str
    item: StoredObject | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NotReached:
    """The object API did not respond; nothing was changed."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The bundle is rejected; nothing was changed."""

    reasons: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NotKnown:
    """A write may have taken effect; it could not be read back in time."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutOfDate:
    """The parent of the proposal is not the bundle in force.

    Attributes:
        roller: Operator that rolled the bundle in force, or empty.
        version: Version in force, 0 for none.
        digest: Digest of its manifest, or empty.
    """

    roller: str
    version: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Another operator's roll was accepted first.

    Attributes:
        winner: Operator whose roll was accepted.
        version: Version in force.
        digest: Digest of its manifest.
    """

    winner: str
    version: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """The proposal is stored and needs a second signature."""

    manifest: Manifest
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Signed:
    """The proposal carries the operator's signature."""

    manifest: Manifest
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rolled:
    """The bundle is accepted.

    Attributes:
        accepted: The bundle that the object API holds, or held before a later
            roll.
        digest: Digest of its manifest.
        note: Additional information for the operator, or empty.
    """

    accepted: AcceptedBundle
    digest: str
    note: str = ""


ReadHead = HeadFound | NoHead | DamagedObject | NotReached
ReadPart = PartFound | NotFound | DamagedObject | NotReached
ReadProposal = ProposalFound | NotFound | DamagedObject | NotReached
ProposeOutcome = Proposed | Refused | NotReached | NotKnown
SignOutcome = Signed | Refused | NotReached | NotKnown
RollOutcome = Rolled | Lost | OutOfDate | Refused | NotReached | NotKnown
