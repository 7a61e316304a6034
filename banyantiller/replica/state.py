"""The replica: which accepted bundle is in force at this daemon.

`Replica` is pure. It takes accepted bundles and parts from anywhere, keeps
those that it has verified, and only ever moves to a higher version. The
bundle in force stays in force until all parts of the next one are here.
"""

import collections
import dataclasses
from typing import NamedTuple

from banyantiller.bundle import canonical, verification
from banyantiller.bundle.manifest import AcceptedBundle, Manifest, Part
from banyantiller.bundle.options import Bundle, Service
from banyantiller.config.defaults import TrustedKey

MOST_CANDIDATES = 4
MOST_SPARE_BYTES = 1_000_000


class Held(NamedTuple):
    """A bundle in force.

    Attributes:
        accepted: Its manifest and signatures.
        bundle: Its whole content.
        digest: Hex SHA-256 of its manifest.
    """

    accepted: AcceptedBundle
    bundle: Bundle
    digest: str

    @property
    def version(self) -> int:
        """Version of the bundle."""
        return self.accepted.manifest.version


@dataclasses.dataclass(frozen=True, slots=True)
class Adopt:
    """The offer is newer and verified; `missing` parts are still needed."""

    missing: tuple[Part, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Ignore:
    """The offer is in force already, or older than the bundle in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The offer must not be taken.

    Attributes:
        reason: One sentence or more.
        fork: Whether another bundle is known under the same version.
        version: Version that is refused, where the caller can't know it.
    """

    reason: str
    fork: bool = False
    version: int = 0


Verdict = Adopt | Ignore | Refuse


class Candidate(NamedTuple):
    """A verified bundle that is not in force yet."""

    accepted: AcceptedBundle
    digest: str


class Replica:
    """Bundle in force, candidates for the next one, and their parts.

    Attributes:
        trusted: Keys of operators.
        deployment: Fleet of this daemon.
        held: The bundle in force, or None.
        candidates: Verified newer bundles by version.
        parts: Canonical JSON of needed parts by digest.
        spare: Parts that no known bundle needs, not yet or no longer, oldest
            first.
    """

    def __init__(
        self, trusted: tuple[TrustedKey, ...], deployment: str
    ) -> None:
        self.trusted = trusted
        self.deployment = deployment
        self.held: Held | None = None
        self.candidates: dict[int, Candidate] = {}
        self.parts: dict[str, bytes] = {}
        self.spare: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        self.services: dict[str, Service] = {}

    @property
    def version(self) -> int:
        """Version in force, 0 for none."""
        return self.held.version if self.held else 0

    @property
    def newest(self) -> int:
        """Highest verified version, in force or not."""
        return max(self.candidates, default=self.version)

    def offer(
        self,
        accepted: AcceptedBundle,
        wall_now: float,
        source: str = "",  # noqa: ARG002
    ) -> Verdict:
        """Judges an accepted bundle and keeps it if it is newer.

        Args:
            accepted: The bundle as the object API or a peer gave it.
            wall_now: Wall-clock seconds.
            source: Where it came from, which only recordings keep.
        """
        version = accepted.manifest.version
        if version < self.version:
            return Ignore()
        digest = canonical.manifest_digest(accepted.manifest)
        known = self._digest_of(version)
        if known == digest:
            return self._repeated(version)
        reasons = verification.verify(
            accepted, self.trusted, self.deployment, wall_now
        )
        if reasons:
            return Refuse(" ".join(reasons))
        if known:
            return Refuse(
                f"Version {version} is known as {known[:12]}, not as"
                f" {digest[:12]}: the object API's history was changed.",
                fork=True,
            )
        self.candidates[version] = Candidate(accepted, digest)
        if len(self.candidates) > MOST_CANDIDATES:
            del self.candidates[min(self.candidates)]
        self._use_spare()
        return self._repeated(version)

    def descends(self, accepted: AcceptedBundle) -> bool:
        """Tells whether an accepted bundle may follow the one in force.

        Only the next version names the bundle in force as its parent; later
        ones are taken to descend from it.
        """
        manifest = accepted.manifest
        if self.held is None or manifest.version != self.version + 1:
            return True
        return manifest.parent == self.held.digest

    def add_part(self, data: bytes, keep_spare: bool = False) -> bool:
        """Takes in a part.

        Args:
            data: Canonical JSON of the part, from anywhere.
            keep_spare: Whether to keep it for a while if no known bundle
                needs it.

        Returns:
            Whether a candidate was waiting for it.
        """
        digest = canonical.digest(data)
        if digest in self.parts:
            return False
        if any(part.digest == digest for part in self.missing()):
            self.parts[digest] = data
            return True
        if keep_spare:
            self._keep_spare(digest, data)
        return False

    def missing(self, at_most: int | None = None) -> tuple[Part, ...]:
        """Returns the parts that candidates wait for, newest first.

        Args:
            at_most: Highest version that counts, or None for all.
        """
        found = {
            part.digest: part
            for version in sorted(self.candidates, reverse=True)
            if at_most is None or version <= at_most
            for part in self.candidates[version].accepted.manifest.parts
            if part.digest not in self.parts
        }
        return tuple(found.values())

    def advance(self, floor: int = 0) -> Held | Refuse | None:
        """Puts the newest complete candidate in force.

        Args:
            floor: Lowest version that may be put in force now.

        Returns:
            The bundle that is in force from now on; a refusal of a signed
            bundle whose parts are not valid; None if nothing changed.
        """
        for version in sorted(self.candidates, reverse=True):
            manifest = self.candidates[version].accepted.manifest
            if version < floor or not self._is_complete(manifest):
                continue
            return self._put_in_force(self.candidates[version])
        return None

    def data_of(self, digest: str) -> bytes | None:
        """Returns a part for a peer that asks for it."""
        return self.parts.get(digest) or self.spare.get(digest)

    def _put_in_force(self, candidate: Candidate) -> Held | Refuse:
        manifest = candidate.accepted.manifest
        try:
            services = tuple(self._service(part) for part in manifest.parts)
        except canonical.CanonicalError as error:
            del self.candidates[manifest.version]
            self._prune()
            reason = f"A signed part is not valid: {error}."
            return Refuse(reason, version=manifest.version)
        bundle = Bundle(services, manifest.description)
        self.held = Held(candidate.accepted, bundle, candidate.digest)
        for version in [v for v in self.candidates if v <= manifest.version]:
            del self.candidates[version]
        self._prune()
        return self.held

    def _service(self, part: Part) -> Service:
        service = self.services.get(part.digest)
        if service is None:
            service = canonical.decode_part(self.parts[part.digest], part)
            self.services[part.digest] = service
        return service

    def _digest_of(self, version: int) -> str:
        if self.held is not None and version == self.version:
            return self.held.digest
        candidate = self.candidates.get(version)
        return candidate.digest if candidate else ""

    def _repeated(self, version: int) -> Verdict:
        candidate = self.candidates.get(version)
        if candidate is None:
            return Ignore()
        wanted = candidate.accepted.manifest.parts
        return Adopt(tuple(p for p in wanted if p.digest not in self.parts))

    def _is_complete(self, manifest: Manifest) -> bool:
        return all(part.digest in self.parts for part in manifest.parts)

    def _use_spare(self) -> None:
        for part in self.missing():
            data = self.spare.pop(part.digest, None)
            if data is not None:
                self.parts[part.digest] = data

    def _keep_spare(self, digest: str, data: bytes) -> None:
        self.spare[digest] = data
        self.spare.move_to_end(digest)
        while sum(map(len, self.spare.values())) > MOST_SPARE_BYTES:
            self.spare.popitem(last=False)

    def _prune(self) -> None:
        needed = {
            part.digest
            for candidate in self.candidates.values()
            for part in candidate.accepted.manifest.parts
        }
        if self.held is not None:
            manifest = self.held.accepted.manifest
            needed.update(part.digest for part in manifest.parts)
        # Operators go back to earlier content under a new version, whose
        # parts are then not written again.
        for digest in [d for d in self.parts if d not in needed]:
            self._keep_spare(digest, self.parts.pop(digest))
        self.services = {d: x for d, x in self.services.items() if d in needed}
