"""The gateway of one daemon: what is in force, and who is being served."""

import asyncio
import math
import random
import socket

from banyantiller.config.defaults import Endpoint
from banyantiller.errors import ErrorKind
from banyantiller.gateway import call as calls
from banyantiller.gateway import (
    call_events,
    caller,
    crash_detection,
    events,
    pool,
    probing,
    quarantine_sync,
    sampling,
    server_choice,
    server_limits,
    servers,
    store_view,
    tallies,
    types,
)
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import budget, durations, selection, turns
from banyantiller.http import messages
from banyantiller.quarantine import crash_table

BACKLOG = 1024
# Part of the fleet's retry budget that is used: the users count a request
# where it was sent, this daemon where it arrived.
BUDGET_USE = 0.9
# A daemon's part of what the budget allows besides, and of a server's
# connections, where daemons can't be counted: small fleets have none to ask.
FLEET_SHARE = 1 / turns.UNCOUNTED_FLEET
# Part of what is shared that is used: a daemon that changes its group counts
# in two for 3 s.
SHARE_USE = 0.8
MIN_CONNECTIONS = 4
# Longest wait for a request without a route.
DEFAULT_TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 16 << 20
HOUSEKEEPING_S = 0.25
# After an order to end: how long new connections and requests are taken, so
# that the platform, which asks once a second and acts on two misses, sees it.
LISTEN_ON_S = 3.0
# Connections that were accepted before listening ended are seen by then.
ACCEPTED_S = 0.02
# Part of the time to end that is kept for closing and for the interpreter's
# end, which takes 0.1 s of processor time.
RESERVE_S = 0.8


class Gateway:
    """Takes calls from callers and relays the answers of servers.

    Attributes:
        settings: Settings in force.
        adapter: What is known of the surroundings.
        store_view: What is known of the store: routes, limits and servers.
        draining: Whether an order to end was given.
        connections: Open connections of callers.
        buffered_body_bytes: Bytes of request bodies in memory.
        durations: How long requests usually take.
        crash_detector: Which requests were on servers that ended.
        quarantine_sync: Tells other daemons of them.
        server_limits: Limits that servers name.
    """

    def __init__(
        self,
        settings: options.Settings,
        adapter: types.Adapter,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.adapter = adapter
        self.random = rng
        self.loop = asyncio.get_running_loop()
        self.tallies = tallies.Tallies()
        self.store_view = store_view.StoreView(
            settings, adapter, self.tallies, rng, self._close_pool
        )
        self.store_view.on_first_document = self._run_waiting_calls
        self.draining = False
        self.default_timeout_s = DEFAULT_TIMEOUT_S
        self.max_response_bytes = MAX_RESPONSE_BYTES
        self.connections: set[caller.CallerConnection] = set()
        self.buffered_body_bytes = 0
        self.pools: dict[str, pool.Pool] = {}
        self.budgets: dict[str, budget.RetryBudget] = {}
        self.shares = budget.MinShare(settings.retry_window_s, self.loop.time())
        self.durations = durations.Durations()
        self.sampler = sampling.CallSampler()
        self.crash_detector = crash_detection.CrashDetector(
            crash_table.CrashTable(settings.quarantine_s, rng),
            self.pool_of,
            self.store_view.table.is_staying,
        )
        self.quarantine_sync = quarantine_sync.QuarantineSync(
            self.crash_detector,
            self.store_view.reader.relays,
            self.store_view.reader.is_relay,
            rng,
        )
        self.store_view.mirror.mark = self.quarantine_sync.mark
        self.quarantine_sync.on_mark_change = self.store_view.mirror.wake
        self.server_limits = server_limits.ServerLimits(adapter, self._place)
        self.store_view.mirror.server_limits = self.server_limits
        for peer in self.store_view.reader.relays:
            peer.server_limits = self.server_limits
        self.prober = probing.LoadProber(
            adapter,
            self.pool_of,
            probing.ProbeCallbacks(
                self.store_view.remove_moved,
                self.crash_detector.record_refused_connection,
                self._note_health,
            ),
            settings.zone,
        )
        self.chooser = server_choice.ServerChooser(
            self.store_view.table,
            self.prober,
            selection.ServerSelector(settings.daemon, settings.zone, rng),
            self._connected,
            lambda: self.min_recent_share() * self.settings.cold_tolerance,
            self.server_limits,
        )
        self.emptied = asyncio.Event()
        self.listener: asyncio.Server | None = None

    # Called by the daemon.

    async def start(
        self, endpoint: Endpoint, waiting: socket.socket | None = None
    ) -> Endpoint:
        """Listens for callers and returns where.

        Args:
            endpoint: Where to listen.
            waiting: Socket that listens already; of use if it is there.

        Raises:
            OSError: The address can't be bound.
        """
        wanted = (endpoint.address, endpoint.port)
        if waiting is not None and waiting.getsockname() != wanted:
            waiting.close()
            waiting = None
        where = {"host": wanted[0], "port": wanted[1]}
        if waiting is not None:
            where = {"sock": waiting}
        self.listener = await self.loop.create_server(
            lambda: caller.CallerConnection(self), backlog=BACKLOG, **where
        )
        bound = self.listener.sockets[0].getsockname()
        return Endpoint(bound[0], bound[1])

    def not_ready(self) -> str:
        """Returns why callers should not be sent here, or an empty text."""
        if self.draining:
            return "the daemon is ending"
        if self.store_view.routes is None:
            return "no document is in force"
        if not self.store_view.servers_listed:
            return "the servers are not known"
        if not self.store_view.evacuations.listed:
            return "the evacuated zones are not known"
        return ""

    async def drain(self, limit_s: float) -> int:
        """Ends without cutting a call.

        Args:
            limit_s: Time until the process is killed, in seconds.

        Returns:
            Number of calls that were still in flight at the end.
        """
        self.draining = True
        self.store_view.begin_shutdown()
        ends = self.loop.time() + limit_s - RESERVE_S
        await asyncio.sleep(min(LISTEN_ON_S, limit_s / 2))
        if self.listener is not None:
            self.listener.close()
        await asyncio.sleep(ACCEPTED_S)
        for connection in list(self.connections):
            connection.drain()
        # It may have been empty for a moment before.
        self.emptied.clear()
        self._note_emptied()
        try:
            async with asyncio.timeout_at(ends):
                await self.emptied.wait()
        except TimeoutError:
            events.emit(events.CallsCut(self._in_flight()))
        return self._in_flight()

    async def run_housekeeping(self) -> None:
        """Forgets what is out of date, now and then, until cancelled."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            now = self.loop.time()
            self.store_view.expire(now)
            self.server_limits.expire(self.store_view.table.servers(), now)
            self.crash_detector.watch.table.period_s = (
                self.settings.quarantine_s
            )
            self.crash_detector.watch.expire(now)
            self.min_recent_share()
            for kept in self.pools.values():
                kept.expire(now)
            if self.store_view.routes is not None:
                self.durations.retain_routes(self.store_view.routes.names)

    async def close(self) -> None:
        """Closes every connection at once."""
        self.quarantine_sync.close()
        for kept in self.pools.values():
            kept.close()
        await self.store_view.reader.close()

    async def handle_peer(self, request: messages.Request) -> messages.Response:
        """Answers another daemon."""
        if request.path.startswith(quarantine_sync.PATH):
            return self.quarantine_sync.handle(request)
        return await self.store_view.mirror.handle(request)

    # Called by connections and calls.

    def pool_of(self, server: types.Server) -> pool.Pool:
        """Returns the connections to a server.

        For a server that has left or started again, returns a closed pool that
        keeps nothing: pools are found by instance, which a later start shares.
        """
        if not self.store_view.table.is_registered(server):
            closed = pool.Pool(server, MIN_CONNECTIONS, self.tallies.opened)
            closed.close()
            return closed
        found = self.pools.get(server.instance)
        if found is None:
            found = pool.Pool(server, MIN_CONNECTIONS, self.tallies.opened)
            self.pools[server.instance] = found
        found.max_size = self._connections_of(server.service)
        return found

    def budget_of(self, service: str) -> budget.RetryBudget:
        """Returns the retry budget of a service."""
        found = self.budgets.get(service)
        if found is None:
            rounding = budget.rounding(self.settings.daemon, service)
            found = budget.RetryBudget(0.0, 0.0, 0.0, rounding)
            self.budgets[service] = found
        # Settings may have changed; what was used counts on.
        found.window_s = self.settings.retry_window_s
        found.ratio = self.settings.retry_ratio * BUDGET_USE
        found.extra = self.settings.retry_extra * self.min_recent_share()
        return found

    def min_recent_share(self) -> float:
        """Returns the least share that was held in the last retry window."""
        if not self.settings.seeds:
            return FLEET_SHARE
        now = self.loop.time()
        self.shares.window_s = self.settings.retry_window_s
        self.shares.record(self.share(), now)
        return self.shares.minimum(now)

    def share(self) -> float:
        """Returns this daemon's part of what the fleet may use.

        Until the daemons that share it were counted it is nothing, if they can
        be counted at all.
        """
        if not self.settings.seeds:
            return FLEET_SHARE
        return (self.store_view.reader.budget_share or 0.0) * SHARE_USE

    def remove_connection(self, connection: caller.CallerConnection) -> None:
        """Forgets a caller's connection."""
        self.connections.discard(connection)
        if self.draining:
            self._note_emptied()

    def record_call(
        self, call: calls.Call, status: int, error: ErrorKind | None
    ) -> None:
        """Counts and logs the end of a call."""
        progress = call.progress
        duration_s = self.loop.time() - call.request.received
        route = call.route.name if call.route is not None else ""
        self.tallies.record_call(
            call.service, route, status, error, progress.sends, duration_s
        )
        good = error is None and status < 500 and progress.sends <= 1
        skipped = self.sampler.begin_second(self.loop.time())
        if skipped is not None:
            events.emit(call_events.CallsNotLogged(*skipped))
        if self.sampler.should_log(good):
            self._log_call(call, status, error, route, duration_s)

    def _log_call(
        self,
        call: calls.Call,
        status: int,
        error: ErrorKind | None,
        route: str,
        duration_s: float,
    ) -> None:
        progress = call.progress
        document_age_s = self.store_view.document_age_s()
        ended = call_events.CallEnded(
            id=call.request.request_id,
            route=route,
            service=call.service,
            version=call.version,
            known_ms=_rounded_ms(document_age_s),
            status=status,
            error=error,
            reason=progress.reason,
            maybe_ran=progress.maybe_ran,
            sends=progress.sends,
            instances=progress.instances,
            among=progress.answered_count,
            load=progress.load and list(progress.load),
            load_age_ms=round(progress.load_age_s * 1000, 1),
            sent_ms=round(progress.sent_after_s * 1000, 1),
            took_ms=round(duration_s * 1000, 1),
            usual_ms=round(progress.usual_s * 1000, 1),
            objective_ms=call.route and round(call.route.objective_s * 1000, 1),
            left_ms=round((call.deadline - self.loop.time()) * 1000, 1),
            fingerprint=call.request.fingerprint,
        )
        events.emit(ended)

    # Within.

    def _note_health(
        self, server: types.Server, headers: messages.Headers, sent_at: float
    ) -> None:
        self.server_limits.record_response(
            server, headers, sent_at, to_request=False
        )

    def _run_waiting_calls(self) -> None:
        """Runs reads that were sent ahead of their answers at a start.

        Before the first document no request is known to be idempotent, so that
        each waits for those before it on its connection.
        """
        for connection in tuple(self.connections):
            connection.run_waiting_calls()

    def _place(self) -> turns.FleetPosition | None:
        """Returns this daemon's place among those that take turns."""
        if self.settings.seeds:
            return self.store_view.reader.position
        return turns.uncounted_position(self.settings.daemon)

    def _connected(
        self, entries: list[servers.ServerEntry]
    ) -> selection.Connected:
        """Returns to which servers there are connections."""
        pools = [
            (entry.server.instance, self.pools.get(entry.server.instance))
            for entry in entries
        ]
        found = [(name, kept) for name, kept in pools if kept is not None]
        idle = frozenset(name for name, kept in found if kept.has_idle())
        busy = frozenset(name for name, kept in found if kept.busy)
        return selection.Connected(idle, busy - idle)

    def _connections_of(self, service: str) -> int:
        found = self.store_view.service(service)
        if found is None:
            return MIN_CONNECTIONS
        return max(MIN_CONNECTIONS, int(found.max_connections * self.share()))

    def _close_pool(self, server: types.Server) -> None:
        found = self.pools.pop(server.instance, None)
        if found is not None:
            found.close()

    def _in_flight(self) -> int:
        return sum(len(connection.slots) for connection in self.connections)

    def _note_emptied(self) -> None:
        if not self.connections:
            self.emptied.set()


def _rounded_ms(age_s: float) -> float | None:
    """Returns a time in ms for the log; None if it is infinite."""
    return round(age_s * 1000, 1) if math.isfinite(age_s) else None
