"""Spreads accepted bundles: from the object API and peers into force here.

`BundleSpread` learns of accepted bundles from a watch, from reads and from
peers, lets the pure `Replica` judge them, fetches missing parts, and tells
subscribers and peers what is in force. Peers announce the version in force
in each heartbeat, and at once when it changes; who is behind asks one of
them for the signed manifest and for the parts that it has not got.
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
from banyantiller.replica import fetching, reading, state, status
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.replica")

Held = state.Held
OnBundle = Callable[[Held], None]

REQUEST_WAIT_S = 0.5
HOLD_S = 3.0
HOLD_CHECK_S = 0.1
MOST_REPORTED = 64


class BundleSpread:
    """Keeps the newest accepted bundle in force at this daemon.

    Attributes:
        replica: Bundle in force and candidates.
        reader: Reads and watches the object API.
        store_reachable: Whether the object API answered last, or None.
        last_answer: Loop time of its last answer, or None.
        lost_at: Loop time from which it no longer answered, or None.
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
        handlers = reading.ReadHandlers(
            self._found, self._part_written, self._answered
        )
        self.reader = reading.Reader(settings, store, peers, handlers, rng)
        self.fetcher = fetching.Fetcher(
            self.replica, store, peers, self._advance, rng
        )
        self.status = status.StatusWriter(settings, store, peers, wall, rng)
        self.callbacks: list[OnBundle] = []
        self.sources: dict[int, str] = {}
        self.reported: collections.deque[tuple[int, str]] = collections.deque(
            maxlen=MOST_REPORTED
        )
        self.asked: tuple[int, float] = (0, 0.0)
        self.highest: tuple[int, float] = (0, 0.0)
        self.store_reachable: bool | None = None
        self.last_answer: float | None = None
        self.lost_at: float | None = None
        self.started: float | None = None
        peers.subscribe(messages.Heartbeat, self._on_heartbeat)
        peers.subscribe(messages.BundleOffer, self._on_offer)
        peers.subscribe(messages.BundleRequest, self._on_request)
        peers.subscribe(messages.PartRequest, self._on_part_request)
        peers.subscribe(messages.PartData, self._on_part)
        kernel.subscribe(events.MemberChanged, self._on_member)

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
    ) -> "BundleSpread":
        """Builds the spread of bundles of one daemon.

        Args:
            settings: Settings of the daemon.
            store: The object API.
            peers: The other daemons; started by the caller.
            kernel: Gets `BundleInForce`, `BundleRefused` and `StoreState`.
            wall: Returns wall-clock seconds.
            seed: Seed of all random choices.
            replica: A replica that records, or None for a plain one.
        """
        return cls(settings, store, peers, kernel, wall, seed, replica)

    @property
    def held(self) -> Held | None:
        """The bundle in force, or None."""
        return self.replica.held

    @property
    def newest_known(self) -> int:
        """Highest version known to be accepted, in force here or not."""
        return max(self.replica.newest, self._floor())

    @property
    def store_lost(self) -> bool:
        """Whether the object API has not answered for long, or never.

        Counted from the first call without an answer, since reads are far
        apart in a large fleet. Peers don't count: they may be cut off too.
        """
        if self.last_answer is None:
            return True
        if self.lost_at is None:
            return False
        limit = self.settings.outage.isolated_after_s
        return asyncio.get_running_loop().time() - self.lost_at > limit

    @property
    def isolated(self) -> bool:
        """Whether neither the object API nor any peer answered for long."""
        if self.started is None:
            return False
        times = (self.started, self.last_answer, self.peers.last_heard)
        latest = max(time for time in times if time is not None)
        limit = self.settings.outage.isolated_after_s
        return asyncio.get_running_loop().time() - latest > limit

    def subscribe(self, callback: OnBundle) -> None:
        """Calls `callback(held)` for the bundle in force and later ones."""
        self.callbacks.append(callback)
        if self.held is not None:
            callback(self.held)

    async def run(self) -> None:
        """Learns, fetches and reports until cancelled.

        A cancelled run deletes the daemon's status object.
        """
        if self.started is None:
            self.started = asyncio.get_running_loop().time()
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self.reader.watch())
                tasks.create_task(self.reader.read())
                tasks.create_task(self.fetcher.run())
                tasks.create_task(self.status.run())
                tasks.create_task(self._release())
        except asyncio.CancelledError:
            await self.status.remove()
            raise

    def _found(
        self, found: outcomes.HeadFound | outcomes.DamagedObject, source: str
    ) -> None:
        if isinstance(found, outcomes.HeadFound):
            self._offer(found.accepted, source)
        else:
            self._refused(0, found.reason, source)

    def _offer(self, accepted: AcceptedBundle, source: str) -> None:
        version = accepted.manifest.version
        verdict = self.replica.offer(accepted, self.wall(), source)
        if isinstance(verdict, state.Refuse):
            self._refused(version, verdict.reason, source)
        elif isinstance(verdict, state.Adopt):
            self.sources.setdefault(version, source)
            self._note_accepted(version)
            if verdict.missing:
                self.fetcher.wanted.set()
            else:
                self._advance()

    def _advance(self) -> None:
        if not self._may_start():
            return
        before = self.held
        descends = {
            version: self.replica.descends(candidate.accepted)
            for version, candidate in self.replica.candidates.items()
        }
        result = self.replica.advance(self._floor() if before is None else 0)
        if isinstance(result, state.Refuse):
            self._refused(result.version, result.reason, "parts")
        elif result is not None:
            if not descends[result.version]:
                log.error(
                    "replica: a bundle does not follow the one before.",
                    version=result.version,
                )
            self._in_force(result)

    def _in_force(self, held: Held) -> None:
        version = held.version
        source = self.sources.get(version, "peer")
        self.sources = {v: s for v, s in self.sources.items() if v > version}
        self.peers.announce(version, held.digest)
        if not self._tell(held):
            return
        log.info(
            "replica: bundle in force.",
            version=version,
            digest=held.digest[:12],
            source=source,
        )
        self.status.note(held)
        self.kernel.emit(
            events.BundleInForce(
                version,
                held.digest,
                held.accepted.accepted_at,
                self.wall(),
                source,
            )
        )

    def _tell(self, held: Held) -> bool:
        """Tells all subscribers of a bundle and whether all took it.

        A bundle that one of them did not take is held and passed on, but
        neither the status nor the evidence may say that it is in force.
        """
        taken = True
        for callback in self.callbacks:
            try:
                callback(held)
            except Exception:
                log.exception("replica: a subscriber failed.")
                taken = False
        return taken

    def _may_start(self) -> bool:
        """Tells whether a first bundle may be put in force yet.

        A read can be stale and a peer behind, so a daemon that just started
        asks both before it takes a first bundle, unless there are no peers
        or one of them does not answer for long.
        """
        if self.held is not None or not self._expects_peers():
            return True
        if self.fetcher.holders(1) and self.reader.tried:
            return True
        now = asyncio.get_running_loop().time()
        return self.started is not None and now - self.started >= HOLD_S

    def _expects_peers(self) -> bool:
        return bool(self.settings.peers.seeds or self.peers.dialer.hints)

    def _floor(self) -> int:
        """Returns the highest version that lately was known to be accepted."""
        version, heard_at = self.highest
        age = asyncio.get_running_loop().time() - heard_at
        return version if age < self.settings.outage.isolated_after_s else 0

    async def _release(self) -> None:
        """Puts a first bundle in force once it need not be held back."""
        while self.held is None:
            if self.replica.candidates:
                self._advance()
            await asyncio.sleep(HOLD_CHECK_S)

    def _refused(self, version: int, reason: str, source: str) -> None:
        if (version, reason) in self.reported:
            return
        self.reported.append((version, reason))
        log.warning(
            "replica: bundle refused.",
            version=version,
            reason=reason,
            source=source,
        )
        self.kernel.emit(
            events.BundleRefused(version, reason, source, self.wall())
        )

    def _part_written(self, data: bytes) -> None:
        self.fetcher.add(data, keep_spare=True)

    def _answered(self, reachable: bool, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        if reachable:
            self.last_answer = now
        if reachable == self.store_reachable:
            return
        self.store_reachable = reachable
        self.lost_at = None if reachable else now
        if reachable:
            log.info("replica: the object API answers.")
        else:
            log.warning("replica: no object API.", reason=reason)
        self.kernel.emit(events.StoreState(reachable, self.wall()))

    def _on_heartbeat(self, peer: str, beat: messages.Heartbeat) -> None:
        self.fetcher.announced[peer] = beat.bundle
        self._note_accepted(beat.bundle)
        if (
            beat.bundle > self.replica.version
            and beat.bundle not in self.replica.candidates
        ):
            self._ask(peer, beat.bundle)
        elif beat.bundle and beat.bundle == self.replica.version:
            self._compare(peer, beat)

    def _ask(self, peer: str, version: int) -> None:
        # One peer is asked at a time; if it does not answer, the next
        # heartbeat of any peer leads to the next request.
        now = asyncio.get_running_loop().time()
        asked_version, asked_at = self.asked
        if asked_version >= version and now - asked_at < REQUEST_WAIT_S:
            return
        self.asked = (version, now)
        self.peers.send(peer, messages.BundleRequest(version - 1))

    def _compare(self, peer: str, beat: messages.Heartbeat) -> None:
        own = bytes.fromhex(self.held.digest)[: len(beat.digest)]
        if own != beat.digest:
            self._refused(
                beat.bundle,
                f"Daemon '{peer}' has another bundle of this version in"
                " force: the object API's history was changed.",
                "peer",
            )

    def _note_accepted(self, version: int) -> None:
        if version >= self._floor():
            now = asyncio.get_running_loop().time()
            self.highest = (version, now)

    def _on_member(self, event: events.MemberChanged) -> None:
        if event.state == "dead":
            self.fetcher.announced.pop(event.daemon, None)

    def _on_request(self, peer: str, request: messages.BundleRequest) -> None:
        if self.held is not None and self.held.version > request.above:
            data = canonical.encode_accepted(self.held.accepted)
            self.peers.send(peer, messages.BundleOffer(data))

    def _on_offer(self, peer: str, offer: messages.BundleOffer) -> None:
        try:
            accepted = canonical.decode_accepted(offer.accepted)
        except canonical.CanonicalError as error:
            self._refused(0, f"Daemon '{peer}' offered {error}.", "peer")
            return
        self._offer(accepted, "peer")

    def _on_part_request(
        self, peer: str, request: messages.PartRequest
    ) -> None:
        for digest in request.digests[: fetching.PARTS_A_REQUEST]:
            data = self.replica.data_of(digest.hex())
            if data is not None:
                self.peers.send(peer, messages.PartData(data))

    def _on_part(self, peer: str, part: messages.PartData) -> None:  # noqa: ARG002
        self.fetcher.add(part.data)
