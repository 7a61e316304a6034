"""What a daemon knows of its store: the document in force and the servers."""

import asyncio
import math
import random
from collections.abc import Callable

from banyantiller.errors import ErrorKind, Failure
from banyantiller.gateway import (
    evacuations,
    events,
    mirror,
    peers,
    routes,
    servers,
    shared_reading,
    store_watching,
    tallies,
    types,
)
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import (
    failure_reports,
    retry_after,
    store_reads,
)
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


class StoreView:
    """Takes what the followers of the store read.

    Attributes:
        adapter: What is known of the surroundings.
        routes: Routes of the document in force, or None before the first.
        table: Servers that registered.
        evacuations: Availability zones that are evacuated.
        servers_listed: Whether the registered servers were read once.
        complete: Set once there is a document, and the servers and the
            evacuated zones are listed.
        started_at: Loop time at which reading began.
        caller_limits: Limits for callers in force.
        store_health: Whether the store answers.
        mirror: What other daemons are told of the store.
        reader: Reads the store, also through other daemons.
        on_server_removed: Called with each server that was taken out.
        on_first_document: Called when the first document is in force.
        shutting_down: Whether this daemon was told to end.
        newest_unreadable: Whether the newest document can't be read.
        local_failures: Servers that failed this daemon.
        unreadable: What is wrong with registrations that can't be read, by
            instance.
    """

    def __init__(
        self,
        settings: options.Settings,
        adapter: types.Adapter,
        counts: tallies.Tallies,
        rng: random.Random,
        on_server_removed: Callable[[types.Server], None],
    ) -> None:
        self.adapter = adapter
        self.tallies = counts
        self.random = rng
        self.on_server_removed = on_server_removed
        self.on_first_document: Callable[[], None] = lambda: None
        self.shutting_down = False
        self.newest_unreadable = False
        self.unreadable: dict[str, str] = {}
        self.local_failures = failure_reports.LocalFailures()
        self.loop = asyncio.get_running_loop()
        self.routes: routes.RouteTable | None = None
        self.table = servers.ServerTable()
        self.evacuations = evacuations.Evacuations(
            self.table, self._note_complete
        )
        self.servers_listed = False
        self.complete = asyncio.Event()
        self.started_at = self.loop.time()
        self.caller_limits = types.CallerLimits()
        self.store_health = store_watching.StoreHealth()
        self.mirror = mirror.Mirror(self._status, adapter.document_kind)
        self.store_health.on_lost = self.mirror.wake
        self.mirror.on_first_subscriber = self._begin_anew
        reliance = store_reads.StoreReadPolicy(
            min(settings.apply_s, settings.leave_s), self.loop.time()
        )
        self.reader = shared_reading.SharedReader(
            adapter.store,
            self.mirror,
            adapter.document_kind,
            _others(settings, reliance.max_peer_age_s),
            settings.control if settings.control in settings.seeds else "",
            rng,
            reliance,
            frozenset((adapter.evacuation_kind,)),
        )
        for peer in self.reader.relays:
            peer.failing = self._failing
            peer.on_failing_servers = self._doubted
        self.mirror.failing_servers = self._told_doubted

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
        if self.store_health.lost_at is not None or self.newest_unreadable:
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
        return Failure(unsure, retry_after=retry_after.START_RETRY_AFTER_S)

    def service(self, name: str) -> types.Service | None:
        """Returns a service of the document in force, or None."""
        if self.routes is None:
            return None
        return self.routes.document.services.get(name)

    def store_watchers(self) -> list[store_watching.StoreWatcher]:
        """Returns the tasks that follow the store."""
        document = store_watching.Handlers(
            self._documents_listed, self._document_changed, self._ignore
        )
        registrations = store_watching.Handlers(
            self._servers_listed, self._server_changed, self._server_removed
        )
        adapter = self.adapter
        wanted = (
            (adapter.document_kind, document, store_watching.DOCUMENT_TIMING),
            (adapter.server_kind, registrations, store_watching.SERVER_TIMING),
            (
                adapter.evacuation_kind,
                self.evacuations.handlers(),
                store_watching.EVACUATION_TIMING,
            ),
        )
        return [
            store_watching.StoreWatcher(
                self.reader,
                kind,
                handlers,
                pace,
                self.store_health,
                self.random,
            )
            for kind, handlers, pace in wanted
        ]

    async def wait_for_first_read(self) -> None:
        """Waits for what a daemon that just started is about to know."""
        left_s = self.started_at + FIRST_READ_S - self.loop.time()
        if self.complete.is_set():
            return
        self.reader.skip_start_pause()
        if left_s <= 0:
            return
        try:
            async with asyncio.timeout(left_s):
                await self.complete.wait()
        except TimeoutError:
            return

    def begin_shutdown(self) -> None:
        """Lets other daemons ask somebody else."""
        self.shutting_down = True
        self.mirror.wake()

    def remove_moved(self, server: types.Server) -> None:
        """Takes out a server whose address another instance has.

        One that registered anew since it was asked stays: the store tells a
        registration only when it changes, so it would stay out.
        """
        if self.table.is_registered(server):
            self.table.remove(server.instance, "address_reused")
            self.on_server_removed(server)

    def expire(self, now: float) -> None:
        """Takes out servers whose registration did not come back."""
        for server in self.table.expire(now):
            self.on_server_removed(server)

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
            self.tallies.documents["unreadable"] += 1
            events.emit(events.DocumentUnreadable(str(error)))
            return
        self.newest_unreadable = False
        held = self.version
        if document.version <= held:
            return
        self.routes = routes.RouteTable(document, self.random)
        self.caller_limits = document.limits
        self._note_complete()
        self.tallies.documents["in_force"] += 1
        events.emit(
            events.DocumentInForce(
                version=document.version,
                before=held,
                routes=len(document.routes),
                through=self.reader.confirmed_by,
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
        for instance in self.table.instances_missing_from(
            item.name for item in items
        ):
            self._server_deleted(instance)
        self.servers_listed = True
        self._note_complete()

    def _note_complete(self) -> None:
        known = self.servers_listed and self.evacuations.listed
        if known and self.routes is not None:
            self.complete.set()

    def _server_changed(self, item: interface.StoredObject) -> None:
        try:
            server = self.adapter.read_server(item.name, item.value)
        except ValueError as error:
            self._registration_unreadable(item.name, str(error))
            return
        self.unreadable.pop(item.name, None)
        self.tallies.registrations["read"] += 1
        before = self.table.put(server, self.loop.time())
        if before is not None:
            self.on_server_removed(before)

    def _registration_unreadable(self, instance: str, error: str) -> None:
        """Takes out a server whose registration another writer spoilt.

        One line is logged as long as the same is wrong with it.
        """
        self.tallies.registrations["unreadable"] += 1
        if self.unreadable.get(instance) != error:
            self.unreadable[instance] = error
            events.emit(events.RegistrationUnreadable(instance, error))
        server = self.table.remove(instance, "registration_unreadable")
        if server is not None:
            self.on_server_removed(server)

    def _server_removed(self, item: interface.StoredObject) -> None:
        self._server_deleted(item.name)

    def _server_deleted(self, instance: str) -> None:
        now = self.loop.time()
        self.unreadable.pop(instance, None)
        if self.store_health.may_have_lapsed(now):
            self.table.lapse(instance, now)
            return
        server = self.table.remove(instance, "registration_removed")
        if server is not None:
            self.on_server_removed(server)

    # Servers that fail.

    def _failing(self) -> list[str]:
        """Returns the servers that this daemon tells others of."""
        now = self.loop.time()
        reported = self.mirror.failure_reports.failing_servers(now)
        return sorted({*self.local_failures.recent(now), *reported})

    def _told_doubted(self) -> list[str]:
        """Returns the servers that those who ask this daemon should doubt."""
        now = self.loop.time()
        own = self.local_failures.recent(now)
        self.mirror.failure_reports.receive(OWN_REPORT, own, now)
        doubted = self.mirror.failure_reports.failing_servers(now)
        self._doubted(doubted)
        return doubted

    def _doubted(self, instances: list[str]) -> None:
        now = self.loop.time()
        self.table.mark_failing(
            instances, now + failure_reports.REPORT_VALID_S, now
        )

    def _ignore(self, item: interface.StoredObject) -> None:
        events.emit(events.DocumentRemoved(item.name))

    # Within.

    def _status(self) -> int:
        """Returns the status with which other daemons are answered."""
        if self.shutting_down:
            return mirror.NOT_READY_STATUS
        if self.store_health.lost_at is not None:
            return mirror.STORE_LOST_STATUS
        return 200

    def _begin_anew(self) -> None:
        # What waits for seconds would notice the store's loss too late.
        for follower in self.store_health.watchers:
            follower.restart.set()


def _others(settings: options.Settings, patience_s: float) -> list[peers.Peer]:
    """Returns the daemons that can be asked, without this one."""
    shares = settings.control not in settings.seeds
    return [
        peers.Peer(options.endpoint(text), settings.daemon, shares, patience_s)
        for text in settings.seeds
        if text != settings.control
    ]
