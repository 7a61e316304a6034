"""The daemon's view of the store: document, servers, evacuated zones."""

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
    registered_servers,
    relays,
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
from banyantiller.store import interface, versions
from banyantiller.utils import decoding

# How long callers of a daemon that starts wait for the first document and list
# of servers: both are read within 0.02 s if the store or a relay responds, and
# ten times as long is within the objective of a short request.
FIRST_READ_S = 0.2
# A document counts as the newest for two waits of calls to the store, of which
# the first may end with a change, and this time, in seconds: 0.1 s for relays
# and 0.8 s for a response. With less, callers of routes that do not exist are
# told to retry although the store responds.
CURRENT_MARGIN_S = 0.9
# Name of this daemon among the reporters of failing servers.
LOCAL_REPORTER = ""


class StoreView:
    """Holds the state that the store watchers have read.

    Attributes:
        adapter: Access to the platform's store and formats.
        routes: Routes of the document in force, or None before the first.
        table: Servers that registered.
        evacuations: Availability zones that are evacuated.
        registrations: Follows the registrations of servers.
        complete: Set once a document is in force, and the servers and the
            evacuated zones are listed.
        started_at: Loop time at which reading began.
        caller_limits: Limits for callers in force.
        store_health: Whether the store responds.
        mirror: Serves the state of the store to subscribers.
        reader: Reads the store directly or through relays.
        on_server_removed: Called with each server that was removed.
        on_first_document: Called when the first document is in force.
        shutting_down: Whether this daemon is shutting down.
        newest_unreadable: Whether the newest document can't be read.
        local_failures: Servers that failed requests of this daemon.
        document_object: Object of the document in force, or None.
        max_wait_s: Maximum wait of a call for changes, in seconds.
    """

    def __init__(
        self,
        settings: options.Settings,
        adapter: types.Adapter,
        fleet_relays: relays.Relays,
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
        self.local_failures = failure_reports.LocalFailures()
        self.loop = asyncio.get_running_loop()
        self.routes: routes.RouteTable | None = None
        self.table = servers.ServerTable()
        self.store_health = store_watching.StoreHealth()
        self.evacuations = evacuations.Evacuations(
            self.table, self._update_complete, self.store_health
        )
        self.document_object: interface.StoredObject | None = None
        self.max_wait_s = store_reads.max_wait_s(settings.recovery_s)
        self.registrations = registered_servers.RegisteredServers(
            adapter,
            self.table,
            self.store_health,
            counts,
            on_server_removed,
            self._update_complete,
        )
        self.complete = asyncio.Event()
        self.started_at = self.loop.time()
        self.caller_limits = types.CallerLimits()
        self.mirror = mirror.Mirror(self._status, adapter.document_kind)
        self.store_health.on_lost = self.mirror.wake
        self.mirror.on_first_subscriber = self._restart_watchers
        read_policy = store_reads.StoreReadPolicy(
            min(settings.apply_s, settings.leave_s),
            settings.recovery_s,
            self.loop.time(),
        )
        self.reader = shared_reading.SharedReader(
            adapter.store,
            self.mirror,
            adapter.document_kind,
            fleet_relays,
            rng,
            read_policy,
            frozenset((adapter.evacuation_kind,)),
        )
        self.mirror.failing_servers = self._failing_servers

    @property
    def version(self) -> int:
        """Version of the document in force, or 0."""
        return self.routes.document.version if self.routes else 0

    def document_age_s(self) -> float:
        """Returns the time since the store last confirmed the document.

        Infinite, in seconds, before the first document.
        """
        if self.routes is None:
            return math.inf
        confirmed = self.mirror.freshness.confirmed_at(
            self.adapter.document_kind
        )
        return self.loop.time() - confirmed

    def is_current(self) -> bool:
        """Returns whether the document counts as the newest."""
        if self.store_health.lost_at is not None or self.newest_unreadable:
            return False
        if self.loop.time() < self.store_health.restored_until:
            # The store may have lost a newer document.
            return False
        max_age_s = 2 * self.max_wait_s + CURRENT_MARGIN_S
        return self.document_age_s() <= max_age_s

    def refusal_of(self, error_kind: ErrorKind) -> Failure:
        """Returns the failure for a request that the document does not allow.

        Callers treat 404, 413 and 431 as final. If a newer document may allow
        the request, the failure says that it was not run and when to retry
        instead.

        Args:
            error_kind: Why the document does not allow it.
        """
        if self.is_current():
            return Failure(error_kind)
        retryable_kind = (
            ErrorKind.FENCED if self.routes else ErrorKind.NO_BUNDLE
        )
        return Failure(
            retryable_kind, retry_after=retry_after.START_RETRY_AFTER_S
        )

    def service(self, name: str) -> types.Service | None:
        """Returns a service of the document in force, or None."""
        if self.routes is None:
            return None
        return self.routes.document.services.get(name)

    def store_watchers(self) -> list[store_watching.StoreWatcher]:
        """Returns the watchers of the store, one per object kind."""
        document_handlers = store_watching.Handlers(
            self._documents_listed,
            self._document_changed,
            self._document_deleted,
        )
        server_handlers = self.registrations.handlers()
        adapter = self.adapter
        at_once = store_watching.WatchTiming(self.max_wait_s, period_s=0.0)
        in_series = store_watching.WatchTiming(
            self.max_wait_s, store_watching.SERVER_PERIOD_S
        )
        watched_kinds = (
            (adapter.document_kind, document_handlers, at_once),
            (adapter.server_kind, server_handlers, in_series),
            (adapter.evacuation_kind, self.evacuations.handlers(), at_once),
        )
        return [
            store_watching.StoreWatcher(
                self.reader,
                object_kind,
                handlers,
                timing,
                self.store_health,
                self.random,
            )
            for object_kind, handlers, timing in watched_kinds
        ]

    async def wait_for_first_read(self) -> None:
        """Waits a limited time for the first document and lists."""
        remaining_s = self.started_at + FIRST_READ_S - self.loop.time()
        if self.complete.is_set():
            return
        self.reader.skip_start_pause()
        if remaining_s <= 0:
            return
        try:
            async with asyncio.timeout(remaining_s):
                await self.complete.wait()
        except TimeoutError:
            return

    def begin_shutdown(self) -> None:
        """Makes the mirror reject queries, so that subscribers switch relay."""
        self.shutting_down = True
        self.mirror.wake()

    def remove_moved(self, server: types.Server) -> None:
        """Removes a server whose address now belongs to another instance.

        A server that registered again since the request was sent is kept: the
        store reports a registration only when it changes, so a removed server
        would not be added again.
        """
        if self.table.is_registered(server):
            self.table.remove(server.instance, "address_reused")
            self.on_server_removed(server)

    def expire(self, now: float) -> None:
        """Takes what a lost or restored store lacks or holds for true.

        Removes servers and evacuations whose object did not come back, and adds
        servers whose removal was not repeated.
        """
        self.evacuations.expire(now)
        self.registrations.expire(now)

    # Handlers of the store watchers.

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
        except Exception as error:  # One object must not stop the watcher.
            self.newest_unreadable = True
            self.tallies.documents["unreadable"] += 1
            events.emit(
                events.DocumentUnreadable(decoding.describe_error(error))
            )
            return
        self.newest_unreadable = False
        previous_version = self.version
        if document.version < previous_version:
            self._keep_document(document.version, item)
        if document.version <= previous_version:
            return
        self.document_object = item
        self.routes = routes.RouteTable(document, self.random)
        self.caller_limits = document.limits
        self._update_complete()
        self.tallies.documents["in_force"] += 1
        events.emit(
            events.DocumentInForce(
                version=document.version,
                before=previous_version,
                store_version=versions.describe(item.version),
                routes=len(document.routes),
                through=self.reader.confirmed_by,
                unconfirmed_ms=round(self.reader.unconfirmed_s * 1000, 1),
            )
        )
        if not previous_version:
            self.on_first_document()

    def _keep_document(
        self, stored_version: int, stored: interface.StoredObject
    ) -> None:
        """Keeps the document in force although the store holds an older one.

        A store that came back from a copy does. Daemons that start and read
        through this one would fall back to the older document.
        """
        self.tallies.documents["outdated"] += 1
        events.emit(events.DocumentOutdated(stored_version, self.version))
        newest = self.document_object
        if newest is not None and stored.kind in self.mirror.histories:
            self.mirror.replace(newest._replace(version=stored.version))

    def _update_complete(self) -> None:
        lists_read = self.registrations.listed and self.evacuations.listed
        if lists_read and self.routes is not None:
            self.complete.set()

    # Failing servers.

    def connect(self, peer: peers.Peer) -> None:
        """Exchanges failing servers with a relay."""
        peer.failing = self._servers_to_report
        peer.on_failing_servers = self._mark_failing

    def _servers_to_report(self) -> list[str]:
        """Returns the failing servers that this daemon reports to relays."""
        now = self.loop.time()
        reported = self.mirror.failure_reports.failing_servers(now)
        return sorted({*self.local_failures.recent(now), *reported})

    def _failing_servers(self) -> list[str]:
        """Returns the failing servers to report to subscribers."""
        now = self.loop.time()
        local = self.local_failures.recent(now)
        self.mirror.failure_reports.receive(LOCAL_REPORTER, local, now)
        failing = self.mirror.failure_reports.failing_servers(now)
        self._mark_failing(failing)
        return failing

    def _mark_failing(self, instances: list[str]) -> None:
        now = self.loop.time()
        self.table.mark_failing(
            instances, now + failure_reports.REPORT_VALID_S, now
        )

    def _document_deleted(self, item: interface.StoredObject) -> None:
        events.emit(events.DocumentRemoved(item.name))

    # Mirror and watchers.

    def _status(self) -> int:
        """Returns the HTTP status of the mirror's responses."""
        if self.shutting_down:
            return mirror.NOT_READY_STATUS
        if self.store_health.lost_at is not None:
            return mirror.STORE_LOST_STATUS
        return 200

    def _restart_watchers(self) -> None:
        # Calls that already wait for seconds would notice a lost store too late
        # for the subscribers.
        for watcher in self.store_health.watchers:
            watcher.restart.set()
