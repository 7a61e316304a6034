"""The replica: decides which accepted bundle is in force at this daemon.

`Replica` is pure: it uses neither a socket nor a clock. It receives accepted
bundles and parts from any source, keeps those that it has verified, and only
moves to higher versions. A bundle stays in force until all parts of the next
one are present.
"""

import collections
import dataclasses
from typing import NamedTuple

from banyantiller.bundle import canonical, verification
from banyantiller.bundle.manifest import AcceptedBundle, Manifest, Part
from banyantiller.bundle.options import Bundle, Service
from banyantiller.config.defaults import TrustedKey

MAX_CANDIDATES = 4
MAX_CACHED_BYTES = 1_000_000


class InForceBundle(NamedTuple):
    """The bundle in force.

    Attributes:
        accepted: Its manifest and signatures.
        bundle: Its decoded content.
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
    """The offer is verified and newer; parts in `missing` are needed."""

    missing: tuple[Part, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Ignore:
    """The offer is in force already, or older than the bundle in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The offer must not be applied.

    Attributes:
        reason: One or more sentences.
        fork: Whether another bundle is known under the same version.
        version: Refused version, if the caller does not know it.
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
        trusted_keys: Keys of operators.
        deployment: Deployment of this daemon.
        in_force: The bundle in force, or None.
        candidates: Verified newer bundles by version.
        parts: Canonical JSON of needed parts by digest.
        cached_parts: Canonical JSON of parts that no known bundle needs yet
            or any more, by digest, oldest first.
        decoded_services: Decoded parts by digest.
    """

    def __init__(
        self, trusted_keys: tuple[TrustedKey, ...], deployment: str
    ) -> None:
        self.trusted_keys = trusted_keys
        self.deployment = deployment
        self.in_force: InForceBundle | None = None
        self.candidates: dict[int, Candidate] = {}
        self.parts: dict[str, bytes] = {}
        self.cached_parts: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        self.decoded_services: dict[str, Service] = {}

    @property
    def version(self) -> int:
        """Version in force, 0 for none."""
        return self.in_force.version if self.in_force else 0

    @property
    def newest_version(self) -> int:
        """Highest verified version, in force or not."""
        return max(self.candidates, default=self.version)

    def offer(
        self,
        accepted: AcceptedBundle,
        wall_now: float,
        source: str = "",  # noqa: ARG002
    ) -> Verdict:
        """Verifies an accepted bundle and keeps it if it is newer.

        Args:
            accepted: The bundle as received from the object API or a peer.
            wall_now: Wall-clock seconds.
            source: Source of the bundle; only recordings use it.
        """
        version = accepted.manifest.version
        if version < self.version:
            return Ignore()
        digest = canonical.manifest_digest(accepted.manifest)
        known_digest = self._known_digest(version)
        if known_digest == digest:
            return self._verdict_on_candidate(version)
        reasons = verification.verify(
            accepted, self.trusted_keys, self.deployment, wall_now
        )
        if reasons:
            return Refuse(" ".join(reasons))
        if known_digest:
            return Refuse(
                f"Version {version} is known as {known_digest[:12]}, not as"
                f" {digest[:12]}: the object API's history was changed.",
                fork=True,
            )
        self.candidates[version] = Candidate(accepted, digest)
        if len(self.candidates) > MAX_CANDIDATES:
            del self.candidates[min(self.candidates)]
        self._use_cached_parts()
        return self._verdict_on_candidate(version)

    def descends(self, accepted: AcceptedBundle) -> bool:
        """Returns whether an accepted bundle may descend from that in force.

        Only the next version can name the bundle in force as its parent;
        later versions are assumed to descend from it.
        """
        manifest = accepted.manifest
        if self.in_force is None or manifest.version != self.version + 1:
            return True
        return manifest.parent == self.in_force.digest

    def add_part(self, data: bytes, cache_unneeded: bool = False) -> bool:
        """Adds a part.

        Args:
            data: Canonical JSON of the part, from any source.
            cache_unneeded: Whether to cache it if no known bundle needs it.

        Returns:
            Whether a candidate needed it.
        """
        digest = canonical.digest(data)
        if digest in self.parts:
            return False
        if any(part.digest == digest for part in self.missing_parts()):
            self.parts[digest] = data
            return True
        if cache_unneeded:
            self._cache_part(digest, data)
        return False

    def missing_parts(self, max_version: int | None = None) -> tuple[Part, ...]:
        """Returns the parts that candidates need, newest version first.

        Args:
            max_version: Highest version to include, or None for all.
        """
        found = {
            part.digest: part
            for version in sorted(self.candidates, reverse=True)
            if max_version is None or version <= max_version
            for part in self.candidates[version].accepted.manifest.parts
            if part.digest not in self.parts
        }
        return tuple(found.values())

    def advance(self, min_version: int = 0) -> InForceBundle | Refuse | None:
        """Puts the newest complete candidate in force.

        Args:
            min_version: Lowest version that may be put in force.

        Returns:
            The new bundle in force; a refusal of a signed bundle whose parts
            are not valid; None if nothing changed.
        """
        for version in sorted(self.candidates, reverse=True):
            manifest = self.candidates[version].accepted.manifest
            if version < min_version or not self._is_complete(manifest):
                continue
            return self._put_in_force(self.candidates[version])
        return None

    def part_data(self, digest: str) -> bytes | None:
        """Returns the canonical JSON of a part, or None if it is not here."""
        return self.parts.get(digest) or self.cached_parts.get(digest)

    def _put_in_force(self, candidate: Candidate) -> InForceBundle | Refuse:
        manifest = candidate.accepted.manifest
        try:
            services = tuple(
                self._decode_service(part) for part in manifest.parts
            )
        except canonical.CanonicalError as error:
            del self.candidates[manifest.version]
            self._prune_parts()
            reason = f"A signed part is not valid: {error}."
            return Refuse(reason, version=manifest.version)
        bundle = Bundle(services, manifest.description)
        self.in_force = InForceBundle(
            candidate.accepted, bundle, candidate.digest
        )
        for version in [v for v in self.candidates if v <= manifest.version]:
            del self.candidates[version]
        self._prune_parts()
        return self.in_force

    def _decode_service(self, part: Part) -> Service:
        service = self.decoded_services.get(part.digest)
        if service is None:
            service = canonical.decode_part(self.parts[part.digest], part)
            self.decoded_services[part.digest] = service
        return service

    def _known_digest(self, version: int) -> str:
        if self.in_force is not None and version == self.version:
            return self.in_force.digest
        candidate = self.candidates.get(version)
        return candidate.digest if candidate else ""

    def _verdict_on_candidate(self, version: int) -> Verdict:
        candidate = self.candidates.get(version)
        if candidate is None:
            return Ignore()
        wanted = candidate.accepted.manifest.parts
        return Adopt(tuple(p for p in wanted if p.digest not in self.parts))

    def _is_complete(self, manifest: Manifest) -> bool:
        return all(part.digest in self.parts for part in manifest.parts)

    def _use_cached_parts(self) -> None:
        for part in self.missing_parts():
            data = self.cached_parts.pop(part.digest, None)
            if data is not None:
                self.parts[part.digest] = data

    def _cache_part(self, digest: str, data: bytes) -> None:
        self.cached_parts[digest] = data
        self.cached_parts.move_to_end(digest)
        while sum(map(len, self.cached_parts.values())) > MAX_CACHED_BYTES:
            self.cached_parts.popitem(last=False)

    def _prune_parts(self) -> None:
        needed = {
            part.digest
            for candidate in self.candidates.values()
            for part in candidate.accepted.manifest.parts
        }
        if self.in_force is not None:
            manifest = self.in_force.accepted.manifest
            needed.update(part.digest for part in manifest.parts)
        # Operators may return to earlier content under a new version. Its
        # parts are not written again, so no watch delivers them.
        for digest in [d for d in self.parts if d not in needed]:
            self._cache_part(digest, self.parts.pop(digest))
        self.decoded_services = {
            d: x for d, x in self.decoded_services.items() if d in needed
        }
