"""Replicates accepted bundles from the object API and from peers.

`BundleReplicator` learns of accepted bundles from a watch, from reads and
from peers, passes them to the pure `Replica` for verification, fetches missing
parts, and notifies subscribers and peers of the bundle in force. Peers announce
the version in force in each heartbeat, and immediately when it changes. A
daemon with an older version requests the signed manifest and the missing parts
from one of them.
"""

import asyncio
import collections
import random
from collections.abc import Callable

import structlog

from banyantiller.bundle import canonical, outcomes
from banyantiller.bundle.manifest import AcceptedBundle
from banyantiller.config import defaults
from banyantiller.kernel import core, events
from banyantiller.membership import messages
from banyantiller.membership import peers as peering
from banyantiller.replica import part_fetcher, state, status, store_reader
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.replica")

InForceBundle = state.InForceBundle
BundleCallback = Callable[[InForceBundle], None]

REQUEST_TIMEOUT_S = 0.5
MAX_HOLD_S = 3.0
HOLD_CHECK_PERIOD_S = 0.1
MAX_REPORTED_REFUSALS = 64


class BundleReplicator:
    """Keeps the newest accepted bundle in force at this daemon.

    Attributes:
        replica: Bundle in force and candidates.
        reader: Reads and watches the object API.
        sources: Source of each candidate by version.
        reported_refusals: Last refusals, which are not reported again.
        last_request: Version and loop time of the last request to a peer.
        highest_accepted: Highest accepted version that this daemon learned
            of, and the loop time of the last report of it.
        store_reachable: Whether the last call of the object API succeeded;
            None before the first.
        last_store_response_at: Loop time of its last response, or None.
        failing_since: Loop time of its first failed call, or None while it
            responds.
    """

    def __init__(
        self,
        settings: defaults.Settings,
        store: interface.ObjectStore,
        peers: peering.Peers,
        kernel: core.Kernel,
        wall: Callable[[], float],
        seed: int,
        replica: state.Replica | None = None,
    ) -> None:
        rng = random.Random(f"{seed} {settings.daemon} replica")
        self.settings = settings
        self.peers = peers
        self.kernel = kernel
        self.wall = wall
        self.replica = replica or state.Replica(
            settings.trusted_keys, settings.deployment
        )
        handlers = store_reader.ReaderHandlers(
            self._on_head, self._on_part_written, self._on_store_response
        )
        self.reader = store_reader.StoreReader(
            settings, store, peers, handlers, rng
        )
        self.fetcher = part_fetcher.PartFetcher(
            self.replica, store, peers, self._advance_replica, rng
        )
        self.status = status.StatusWriter(settings, store, peers, wall, rng)
        self.callbacks: list[BundleCallback] = []
        self.sources: dict[int, str] = {}
        self.reported_refusals: collections.deque[tuple[int, str]] = (
            collections.deque(maxlen=MAX_REPORTED_REFUSALS)
        )
        self.last_request: tuple[int, float] = (0, 0.0)
        self.highest_accepted: tuple[int, float] = (0, 0.0)
        self.store_reachable: bool | None = None
        self.last_store_response_at: float | None = None
        self.failing_since: float | None = None
        self.started_at: float | None = None
        peers.subscribe(messages.Heartbeat, self._on_heartbeat)
        peers.subscribe(messages.BundleOffer, self._on_bundle_offer)
        peers.subscribe(messages.BundleRequest, self._on_bundle_request)
        peers.subscribe(messages.PartRequest, self._on_part_request)
        peers.subscribe(messages.PartData, self._on_part_data)
        kernel.subscribe(events.MemberChanged, self._on_member_changed)

    @classmethod
    def from_settings(
        cls,
        settings: defaults.Settings,
        store: interface.ObjectStore,
        peers: peering.Peers,
        kernel: core.Kernel,
        wall: Callable[[], float],
        seed: int,
        replica: state.Replica | None = None,
    ) -> "BundleReplicator":
        """Builds the replicator of one daemon.

        Args:
            settings: Settings of the daemon.
            store: The object API.
            peers: Membership of this daemon; the caller starts it.
            kernel: Receives `BundleInForce`, `BundleRefused` and
                `StoreState` events.
            wall: Returns wall-clock seconds.
            seed: Seed of all random choices.
            replica: A recording replica, or None for a plain one.
        """
        return cls(settings, store, peers, kernel, wall, seed, replica)

    @property
    def in_force(self) -> InForceBundle | None:
        """The bundle in force, or None."""
        return self.replica.in_force

    @property
    def newest_accepted(self) -> int:
        """Highest version known to be accepted, in force or not."""
        return max(self.replica.newest_version, self._min_first_version())

    @property
    def store_lost(self) -> bool:
        """Whether the object API has been unresponsive for too long.

        True as well if it has never responded. The time is counted from the
        first failed call, as reads are far apart in a large fleet. Messages
        from peers don't count, as the peers may be cut off too.
        """
        if self.last_store_response_at is None:
            return True
        if self.failing_since is None:
            return False
        limit = self.settings.outage.isolated_after_s
        return asyncio.get_running_loop().time() - self.failing_since > limit

    @property
    def isolated(self) -> bool:
        """Whether neither the object API nor a peer has responded for long."""
        if self.started_at is None:
            return False
        times = (
            self.started_at,
            self.last_store_response_at,
            self.peers.last_received_at,
        )
        latest = max(time for time in times if time is not None)
        limit = self.settings.outage.isolated_after_s
        return asyncio.get_running_loop().time() - latest > limit

    def subscribe(self, callback: BundleCallback) -> None:
        """Calls `callback` with the bundle in force and each later one."""
        self.callbacks.append(callback)
        if self.in_force is not None:
            callback(self.in_force)

    async def run(self) -> None:
        """Reads, fetches and writes the status until cancelled.

        Cancelling deletes the status object of the daemon.
        """
        if self.started_at is None:
            self.started_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self.reader.run_watch())
                tasks.create_task(self.reader.run_reads())
                tasks.create_task(self.fetcher.run())
                tasks.create_task(self.status.run())
                tasks.create_task(self._release_first_bundle())
        except asyncio.CancelledError:
            await self.status.remove_object()
            raise

    def _on_head(
        self, found: outcomes.HeadFound | outcomes.DamagedObject, source: str
    ) -> None:
        if isinstance(found, outcomes.HeadFound):
            self._offer_to_replica(found.accepted, source)
        else:
            self._report_refusal(0, found.reason, source)

    def _offer_to_replica(self, accepted: AcceptedBundle, source: str) -> None:
        version = accepted.manifest.version
        verdict = self.replica.offer(accepted, self.wall(), source)
        if isinstance(verdict, state.Refuse):
            self._report_refusal(version, verdict.reason, source)
        elif isinstance(verdict, state.Adopt):
            self.sources.setdefault(version, source)
            self._record_accepted_version(version)
            if verdict.missing:
                self.fetcher.parts_missing.set()
            else:
                self._advance_replica()

    def _advance_replica(self) -> None:
        if not self._may_apply_first_bundle():
            return
        before = self.in_force
        descends = {
            version: self.replica.descends(candidate.accepted)
            for version, candidate in self.replica.candidates.items()
        }
        result = self.replica.advance(
            self._min_first_version() if before is None else 0
        )
        if isinstance(result, state.Refuse):
            self._report_refusal(result.version, result.reason, "parts")
        elif result is not None:
            if not descends[result.version]:
                log.error(
                    "replica: a bundle does not follow the one before.",
                    version=result.version,
                )
            self._announce_in_force(result)

    def _announce_in_force(self, in_force: InForceBundle) -> None:
        version = in_force.version
        source = self.sources.get(version, "peer")
        self.sources = {v: s for v, s in self.sources.items() if v > version}
        self.peers.announce_bundle(version, in_force.digest)
        if not self._notify_subscribers(in_force):
            return
        log.info(
            "replica: bundle in force.",
            version=version,
            digest=in_force.digest[:12],
            source=source,
        )
        self.status.record_in_force(in_force)
        self.kernel.emit(
            events.BundleInForce(
                version,
                in_force.digest,
                in_force.accepted.accepted_at,
                self.wall(),
                source,
            )
        )

    def _notify_subscribers(self, in_force: InForceBundle) -> bool:
        """Notifies all subscribers; returns whether all of them succeeded.

        If a subscriber fails, the bundle is kept and offered to peers, but
        neither the status nor the evidence may report it as in force.
        """
        all_succeeded = True
        for callback in self.callbacks:
            try:
                callback(in_force)
            except Exception:
                log.exception("replica: a subscriber failed.")
                all_succeeded = False
        return all_succeeded

    def _may_apply_first_bundle(self) -> bool:
        """Returns whether the first bundle may be put in force yet.

        A read can be stale and a peer can be behind, so a daemon that just
        started consults both before it applies its first bundle, unless it
        expects no peers or one of the two does not respond for `MAX_HOLD_S`.
        """
        if self.in_force is not None or not self._expects_peers():
            return True
        if self.fetcher.peers_with_version(1) and self.reader.first_read_done:
            return True
        now = asyncio.get_running_loop().time()
        return (
            self.started_at is not None and now - self.started_at >= MAX_HOLD_S
        )

    def _expects_peers(self) -> bool:
        return bool(self.settings.peers.seeds or self.peers.dialer.hints)

    def _min_first_version(self) -> int:
        """Returns the highest recently accepted version, or 0 for none."""
        version, learned_at = self.highest_accepted
        age = asyncio.get_running_loop().time() - learned_at
        return version if age < self.settings.outage.isolated_after_s else 0

    async def _release_first_bundle(self) -> None:
        """Puts the first bundle in force once it may be applied."""
        while self.in_force is None:
            if self.replica.candidates:
                self._advance_replica()
            await asyncio.sleep(HOLD_CHECK_PERIOD_S)

    def _report_refusal(self, version: int, reason: str, source: str) -> None:
        if (version, reason) in self.reported_refusals:
            return
        self.reported_refusals.append((version, reason))
        log.warning(
            "replica: bundle refused.",
            version=version,
            reason=reason,
            source=source,
        )
        self.kernel.emit(
            events.BundleRefused(version, reason, source, self.wall())
        )

    def _on_part_written(self, data: bytes) -> None:
        self.fetcher.add_part(data, cache_unneeded=True)

    def _on_store_response(self, reachable: bool, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        if reachable:
            self.last_store_response_at = now
        if reachable == self.store_reachable:
            return
        self.store_reachable = reachable
        self.failing_since = None if reachable else now
        if reachable:
            log.info("replica: the object API answers.")
        else:
            log.warning("replica: no object API.", reason=reason)
        self.kernel.emit(events.StoreState(reachable, self.wall()))

    def _on_heartbeat(self, peer: str, heartbeat: messages.Heartbeat) -> None:
        self.fetcher.announced_versions[peer] = heartbeat.bundle
        self._record_accepted_version(heartbeat.bundle)
        if (
            heartbeat.bundle > self.replica.version
            and heartbeat.bundle not in self.replica.candidates
        ):
            self._request_bundle(peer, heartbeat.bundle)
        elif heartbeat.bundle and heartbeat.bundle == self.replica.version:
            self._check_digest(peer, heartbeat)

    def _request_bundle(self, peer: str, version: int) -> None:
        # Only one request is outstanding. If the peer does not respond, the
        # next heartbeat of any peer triggers another request.
        now = asyncio.get_running_loop().time()
        last_version, last_at = self.last_request
        if last_version >= version and now - last_at < REQUEST_TIMEOUT_S:
            return
        self.last_request = (version, now)
        self.peers.send(peer, messages.BundleRequest(version - 1))

    def _check_digest(self, peer: str, heartbeat: messages.Heartbeat) -> None:
        prefix = bytes.fromhex(self.in_force.digest)[: len(heartbeat.digest)]
        if prefix != heartbeat.digest:
            self._report_refusal(
                heartbeat.bundle,
                f"Daemon '{peer}' has another bundle of this version in"
                " force: the object API's history was changed.",
                "peer",
            )

    def _record_accepted_version(self, version: int) -> None:
        if version >= self._min_first_version():
            now = asyncio.get_running_loop().time()
            self.highest_accepted = (version, now)

    def _on_member_changed(self, event: events.MemberChanged) -> None:
        if event.state == "dead":
            self.fetcher.announced_versions.pop(event.daemon, None)

    def _on_bundle_request(
        self, peer: str, request: messages.BundleRequest
    ) -> None:
        if self.in_force is not None and self.in_force.version > request.above:
            data = canonical.encode_accepted(self.in_force.accepted)
            self.peers.send(peer, messages.BundleOffer(data))

    def _on_bundle_offer(self, peer: str, offer: messages.BundleOffer) -> None:
        try:
            accepted = canonical.decode_accepted(offer.accepted)
        except canonical.CanonicalError as error:
            self._report_refusal(0, f"Daemon '{peer}' offered {error}.", "peer")
            return
        self._offer_to_replica(accepted, "peer")

    def _on_part_request(
        self, peer: str, request: messages.PartRequest
    ) -> None:
        for digest in request.digests[: part_fetcher.MAX_PARTS_PER_REQUEST]:
            data = self.replica.part_data(digest.hex())
            if data is not None:
                self.peers.send(peer, messages.PartData(data))

    def _on_part_data(self, peer: str, part: messages.PartData) -> None:  # noqa: ARG002
        self.fetcher.add_part(part.data)
