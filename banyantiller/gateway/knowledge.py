"""What a daemon knows of its store: the document in force and the servers."""

import asyncio
import math
import random
from collections.abc import Callable

from banyantiller.errors import ErrorKind, Failure
from banyantiller.gateway import (
    evacuations,
    events,
    following,
    mirror,
    peers,
    routes,
    servers,
    sharing,
    tallies,
    types,
)
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import failing, reading, refusing
from banyantiller.store import interface

# How long callers of a daemon that starts wait for the first document and list
# of servers: both are read within 0.02 s if anybody answers, and ten times as
# long is within the objective of a short request.
FIRST_READ_S = 0.2
# Age up to which a document counts as the newest, in seconds: 3 s for a call to
# the store that ended with a change, 0.1 s for other daemons, 3 s for the next
# call, and 0.8 s for its answer. With less, callers of routes that do not exist
# are told to come back although the store answers.
CURRENT_S = 7.0
# Stands for this daemon among those that reported servers to it.
OWN_REPORT = ""


class Knowledge:
    """Takes what the followers of the store read.

    Attributes:
        adapter: What is known of the surroundings.
        routes: Routes of the document in force, or None before the first.
        table: Servers that registered.
        zones: Availability zones that are evacuated.
        listed: Whether the registered servers were read once.
        complete: Set once there is a document, and the servers and the
            evacuated zones are listed.
        begun: Loop time at which reading began.
        limits: Limits for callers in force.
        health: Whether the store answers.
        mirror: What other daemons are told of the store.
        reader: Reads the store, also through other daemons.
        gone: Called with each server that was taken out.
        on_first_document: Called when the first document is in force.
        ending: Whether this daemon was told to end.
        newest_unreadable: Whether the newest document can't be read.
        own_failures: Servers that failed this daemon.
        unreadable: What is wrong with registrations that can't be read, by
            instance.
    """

    def __init__(
        self,
        settings: options.Settings,
        adapter: types.Adapter,
        counts: tallies.Tallies,
        rng: random.Random,
        gone: Callable[[types.Server], None],
    ) -> None:
        self.adapter = adapter
        self.counts = counts
        self.random = rng
        self.gone = gone
        self.on_first_document: Callable[[], None] = lambda: None
        self.ending = False
        self.newest_unreadable = False
        self.unreadable: dict[str, str] = {}
        self.own_failures = failing.OwnFailures()
        self.loop = asyncio.get_running_loop()
        self.routes: routes.RouteTable | None = None
        self.table = servers.ServerTable()
        self.zones = evacuations.Evacuations(self.table, self._note_complete)
        self.listed = False
        self.complete = asyncio.Event()
        self.begun = self.loop.time()
        self.limits = types.CallerLimits()
        self.health = following.StoreHealth()
        self.mirror = mirror.Mirror(self._status, adapter.document_kind)
        self.health.on_lost = self.mirror.wake
        self.mirror.on_demand = self._begin_anew
        reliance = reading.Reliance(
            min(settings.apply_s, settings.leave_s), self.loop.time()
        )
        self.reader = sharing.SharedReader(
            adapter.store,
            self.mirror,
            adapter.document_kind,
            _others(settings, reliance.patience_s),
            settings.control if settings.control in settings.seeds else "",
            rng,
            reliance,
            frozenset((adapter.evacuation_kind,)),
        )
        for peer in self.reader.others:
            peer.failing = self._failing
            peer.on_doubted = self._doubted
        self.mirror.doubted = self._told_doubted

    @property
    def version(self) -> int:
        """Version of the document in force, or 0."""
        return self.routes.document.version if self.routes else 0

    def document_age_s(self) -> float:
        """Returns how long ago the store said which document is the newest.

        Infinite, in seconds, before the first document.
        """
        if self.routes is None:
            return math.inf
        confirmed = self.mirror.freshness.confirmed_at(
            self.adapter.document_kind
        )
        return self.loop.time() - confirmed

    def is_current(self) -> bool:
        """Tells whether the document counts as the newest."""
        if self.health.lost_at is not None or self.newest_unreadable:
            return False
        return self.document_age_s() <= CURRENT_S

    def refusal_of(self, kind: ErrorKind) -> Failure:
        """Returns the refusal of a request that the document does not allow.

        Callers take 404, 413 and 431 for final. If a newer document may allow
        the request, they are told that it was not run and when to come back.

        Args:
            kind: Why the document does not allow it.
        """
        if self.is_current():
            return Failure(kind)
        unsure = ErrorKind.FENCED if self.routes else ErrorKind.NO_BUNDLE
        return Failure(unsure, retry_after=refusing.START_RETRY_AFTER_S)

    def service(self, name: str) -> types.Service | None:
        """Returns a service of the document in force, or None."""
        if self.routes is None:
            return None
        return self.routes.document.services.get(name)

    def followers(self) -> list[following.Follower]:
        """Returns the tasks that follow the store."""
        document = following.Handlers(
            self._documents_listed, self._document_changed, self._ignore
        )
        registrations = following.Handlers(
            self._servers_listed, self._server_changed, self._server_removed
        )
        adapter = self.adapter
        wanted = (
            (adapter.document_kind, document, following.DOCUMENT_PACE),
            (adapter.server_kind, registrations, following.SERVER_PACE),
            (
                adapter.evacuation_kind,
                self.zones.handlers(),
                following.EVACUATION_PACE,
            ),
        )
        return [
            following.Follower(
                self.reader, kind, handlers, pace, self.health, self.random
            )
            for kind, handlers, pace in wanted
        ]

    async def first_read(self) -> None:
        """Waits for what a daemon that just started is about to know."""
        left_s = self.begun + FIRST_READ_S - self.loop.time()
        if self.complete.is_set():
            return
        self.reader.hurry()
        if left_s <= 0:
            return
        try:
            async with asyncio.timeout(left_s):
                await self.complete.wait()
        except TimeoutError:
            return

    def end(self) -> None:
        """Lets other daemons ask somebody else."""
        self.ending = True
        self.mirror.wake()

    def moved(self, server: types.Server) -> None:
        """Takes out a server whose address another instance has.

        One that registered anew since it was asked stays: the store tells a
        registration only when it changes, so it would stay out.
        """
        if self.table.holds(server):
            self.table.remove(server.instance, "address_reused")
            self.gone(server)

    def expire(self, now: float) -> None:
        """Takes out servers whose registration did not come back."""
        for server in self.table.expire(now):
            self.gone(server)

    # Called by the followers.

    def _documents_listed(
        self, items: tuple[interface.StoredObject, ...]
    ) -> None:
        for item in items:
            self._document_changed(item)

    def _document_changed(self, item: interface.StoredObject) -> None:
        if item.name != self.adapter.document_name:
            return
        try:
            document = self.adapter.read_document(item.value)
        except ValueError as error:
            self.newest_unreadable = True
            self.counts.documents["unreadable"] += 1
            events.emit(events.DocumentUnreadable(str(error)))
            return
        self.newest_unreadable = False
        held = self.version
        if document.version <= held:
            return
        self.routes = routes.RouteTable(document, self.random)
        self.limits = document.limits
        self._note_complete()
        self.counts.documents["in_force"] += 1
        events.emit(
            events.DocumentInForce(
                version=document.version,
                before=held,
                routes=len(document.routes),
                through=self.reader.heard_through,
                unconfirmed_ms=round(self.reader.unconfirmed_s * 1000, 1),
            )
        )
        if not held:
            self.on_first_document()

    def _servers_listed(
        self, items: tuple[interface.StoredObject, ...]
    ) -> None:
        for item in items:
            self._server_changed(item)
        for instance in self.table.absent(item.name for item in items):
            self._server_deleted(instance)
        self.listed = True
        self._note_complete()

    def _note_complete(self) -> None:
        known = self.listed and self.zones.listed
        if known and self.routes is not None:
            self.complete.set()

    def _server_changed(self, item: interface.StoredObject) -> None:
        try:
            server = self.adapter.read_server(item.name, item.value)
        except ValueError as error:
            self._registration_unreadable(item.name, str(error))
            return
        self.unreadable.pop(item.name, None)
        self.counts.registrations["read"] += 1
        before = self.table.put(server, self.loop.time())
        if before is not None:
            self.gone(before)

    def _registration_unreadable(self, instance: str, error: str) -> None:
        """Takes out a server whose registration another writer spoilt.

        One line is logged as long as the same is wrong with it.
        """
        self.counts.registrations["unreadable"] += 1
        if self.unreadable.get(instance) != error:
            self.unreadable[instance] = error
            events.emit(events.RegistrationUnreadable(instance, error))
        server = self.table.remove(instance, "registration_unreadable")
        if server is not None:
            self.gone(server)

    def _server_removed(self, item: interface.StoredObject) -> None:
        self._server_deleted(item.name)

    def _server_deleted(self, instance: str) -> None:
        now = self.loop.time()
        self.unreadable.pop(instance, None)
        if self.health.may_have_lapsed(now):
            self.table.lapse(instance, now)
            return
        server = self.table.remove(instance, "registration_removed")
        if server is not None:
            self.gone(server)

    # Servers that fail.

    def _failing(self) -> list[str]:
        """Returns the servers that this daemon tells others of."""
        now = self.loop.time()
        reported = self.mirror.reports.doubted(now)
        return sorted({*self.own_failures.recent(now), *reported})

    def _told_doubted(self) -> list[str]:
        """Returns the servers that those who ask this daemon should doubt."""
        now = self.loop.time()
        own = self.own_failures.recent(now)
        self.mirror.reports.take(OWN_REPORT, own, now)
        doubted = self.mirror.reports.doubted(now)
        self._doubted(doubted)
        return doubted

    def _doubted(self, instances: list[str]) -> None:
        now = self.loop.time()
        self.table.doubt(instances, now + failing.HELD_S, now)

    def _ignore(self, item: interface.StoredObject) -> None:
        events.emit(events.DocumentRemoved(item.name))

    # Within.

    def _status(self) -> int:
        """Returns the status with which other daemons are answered."""
        if self.ending:
            return mirror.NOT_READY_STATUS
        if self.health.lost_at is not None:
            return mirror.STORE_LOST_STATUS
        return 200

    def _begin_anew(self) -> None:
        # What waits for seconds would notice the store's loss too late.
        for follower in self.health.watchers:
            follower.begin_anew.set()


def _others(settings: options.Settings, patience_s: float) -> list[peers.Peer]:
    """Returns the daemons that can be asked, without this one."""
    shares = settings.control not in settings.seeds
    return [
        peers.Peer(options.endpoint(text), settings.daemon, shares, patience_s)
        for text in settings.seeds
        if text != settings.control
    ]
