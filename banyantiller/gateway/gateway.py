"""The gateway of one daemon: its shared state and its life cycle."""

import asyncio
import collections
import random
import socket
from collections.abc import Iterable

from banyantiller.config.defaults import Endpoint
from banyantiller.errors import ErrorKind
from banyantiller.gateway import (
    allowance_grants,
    allowance_parts,
    allowances,
    call_events,
    call_log,
    caller,
    crash_detection,
    daemon_list,
    events,
    exchange,
    forwarded_calls,
    forwarding,
    load_reports,
    mirror,
    pool,
    probing,
    quarantine_sync,
    reachability,
    rejection_relay,
    relay_succession,
    relays,
    request_placement,
    returning_callers,
    sampling,
    server_backoffs,
    server_choice,
    server_limits,
    server_responses,
    servers,
    stalls,
    store_view,
    tallies,
    transfers,
    types,
)
from banyantiller.gateway import call as calls
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import (
    budget,
    caller_budgets,
    durations,
    precedence,
    selection,
    service_load,
    turns,
)
from banyantiller.http import body_memory, messages
from banyantiller.quarantine import crash_table

BACKLOG = 1024
# Part of the fleet's retry budget that is used. Those who check the budget
# count a request where it was sent, this daemon counts it where it arrived.
USABLE_BUDGET_RATIO = 0.9
# A daemon's share of the extra retries and of a server's connections if daemons
# can't be counted: small fleets have no relays to count them.
UNCOUNTED_FLEET_SHARE = 1 / turns.UNCOUNTED_FLEET
# Part of the share that is used: a daemon that changes its relay is counted at
# both for 3 s.
USABLE_SHARE_RATIO = 0.8
MIN_CONNECTIONS = 4
# Maximum time for a call without a route.
DEFAULT_TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 16 << 20
# Maximum size of the response bodies that are being read, over all connections.
MAX_RESPONSE_MEMORY_BYTES = 48 << 20
HOUSEKEEPING_S = 0.25
# How long a draining daemon accepts connections and requests, so that the
# platform, which checks readiness each second, notices: it acts on two misses.
DRAIN_LISTEN_S = 3.0
# Within this time, connections accepted before listening ended are registered.
ACCEPT_SETTLE_S = 0.02
# Part of the drain time that is reserved for closing connections and for the
# interpreter's exit, which takes 0.1 s of processor time.
SHUTDOWN_RESERVE_S = 0.8


class Gateway:
    """Routes calls to servers and forwards their responses to callers.

    Attributes:
        settings: Settings in force.
        adapter: Access to the store and the formats of the environment.
        relays: The relays in use.
        relay_succession: Replaces relays that are lost.
        store_view: State read from the store: routes, limits and servers.
        draining: Whether the daemon is shutting down.
        connections: Open connections of callers.
        buffered_body_bytes: Bytes of request bodies in memory.
        durations: Usual durations of requests.
        service_loads: Loads of the servers by service and zone.
        load_reports: Exchanges these loads with peers.
        caller_budgets: How long the callers of each route wait in total.
        return_watches: Whether rejected callers come back, by service.
        crash_detector: Finds requests that were on servers that crashed.
        quarantine_sync: Exchanges quarantined requests with peers.
        server_limits: Rate limits that servers name.
        server_backoffs: Times for which servers want no requests.
        response_recorders: Evaluate the responses of servers.
        reachability: Services of which no server responds to this daemon.
        forwarder: Forwards calls to daemons that reach servers.
        forwarded_calls: Runs calls that other daemons forward.
        allowances: Admits the requests of organisations with an allowance.
        transfers: Admits calls with large responses.
        returning_callers: Recognises callers that come back after a rejection.
        stalls: Reports moments in which the process ran nothing.
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
        self.relays = relays.Relays.from_settings(settings, rng)
        self.store_view = store_view.StoreView(
            settings, adapter, self.relays, self.tallies, rng, self._close_pool
        )
        self.store_view.on_first_document = self._run_waiting_calls
        self.draining = False
        self.default_timeout_s = DEFAULT_TIMEOUT_S
        self.response_memory = exchange.ResponseMemory(
            MAX_RESPONSE_BYTES,
            body_memory.BodyMemory(MAX_RESPONSE_MEMORY_BYTES),
        )
        self.connections: set[caller.CallerConnection] = set()
        self.buffered_body_bytes = 0
        self.pools: dict[str, pool.Pool] = {}
        self.budgets: dict[str, budget.RetryBudget] = {}
        self.shares = budget.MinShare(settings.retry_window_s, self.loop.time())
        self.durations = durations.Durations()
        self.service_loads = service_load.ServiceLoads()
        self.caller_budgets = caller_budgets.CallerBudgets()
        self.return_watches: collections.defaultdict[
            str, precedence.ReturnWatch
        ] = collections.defaultdict(precedence.ReturnWatch)
        self.sampler = sampling.CallSampler()
        self.crash_detector = crash_detection.CrashDetector(
            crash_table.CrashTable(settings.quarantine_s, rng),
            self.pool_of,
            self.store_view.table,
            rng,
        )
        self.quarantine_sync = quarantine_sync.QuarantineSync(
            self.crash_detector, self.relays, rng
        )
        self.store_view.mirror.mark = self.quarantine_sync.mark
        self.quarantine_sync.on_mark_change = self.store_view.mirror.wake
        self.server_limits = server_limits.ServerLimits(adapter, self._position)
        self.store_view.mirror.server_limits = self.server_limits
        self.load_reports = load_reports.LoadReports(
            self.service_loads, self.shares_load, adapter.document_kind
        )
        self.store_view.mirror.load_reports = self.load_reports
        self.server_backoffs = server_backoffs.ServerBackoffs(adapter)
        self.response_recorders = server_responses.recorders(
            adapter.wire,
            self.store_view.table,
            self.server_limits,
            self.server_backoffs,
        )
        self.prober = probing.LoadProber(
            adapter,
            self.pool_of,
            probing.ProbeCallbacks(
                self.store_view.remove_moved,
                self.crash_detector.record_refused_connection,
                self.response_recorders.to_probe,
                self.record_load,
            ),
            settings.zone,
        )
        self.chooser = server_choice.ServerChooser(
            self.store_view.table,
            self.prober,
            self._find_connected,
            lambda: self.min_recent_share() * self.settings.cold_tolerance,
            self.server_limits,
            self.server_backoffs,
            request_placement.RequestPlacement(
                selection.ServerSelector(
                    settings.daemon, settings.zone, rng, self._zone_load
                ),
                self.shares_load,
            ),
        )
        self.reachability = reachability.Reachability(
            self.store_view.table, self.prober, self.store_view.service, rng
        )
        contact = daemon_list.LocalContact(
            settings.control,
            settings.zone,
            self.reachability.lost_services,
            self._possible_successors,
        )
        daemons = daemon_list.DaemonList(
            self.relays, self.store_view.mirror, contact, rng
        )
        self.forwarder = forwarding.Forwarder(daemons, rng)
        self.reachability.on_change = daemons.refresh
        self.forwarded_calls = forwarded_calls.ForwardedCalls(self)
        self.allowances = allowances.Allowances(
            self.store_view,
            self.relays,
            lambda: self.settings,
            rng,
            self.shared_load,
            self.store_view.reader.count_daemons,
        )
        self.transfers = transfers.Transfers(
            lambda: self.settings, self.response_memory.shared, rng
        )
        self.returning_callers = returning_callers.ReturningCallers(
            self.relays, self.service_loads.service_load, self._request_times
        )
        self.relay_succession = relay_succession.RelaySuccession(
            self.relays,
            self.store_view.mirror,
            self.store_view.reader.reads_store,
        )
        self.store_view.mirror.successors = lambda: self.relays.successors
        self.stalls = stalls.StallDetector()
        # Last, as it needs the relays that the reader queries after a change.
        self.relays.on_change.append(self._connect_relays)
        self._connect_relays()
        self.all_closed = asyncio.Event()
        self.listener: asyncio.Server | None = None

    async def start(
        self, endpoint: Endpoint, listener: socket.socket | None = None
    ) -> Endpoint:
        """Starts to listen for callers and returns the bound endpoint.

        Args:
            endpoint: Address and port to listen on.
            listener: Listening socket, used if it is bound to `endpoint`.

        Raises:
            OSError: The address can't be bound.
        """
        address = (endpoint.address, endpoint.port)
        if listener is not None and listener.getsockname() != address:
            listener.close()
            listener = None
        target = {"host": address[0], "port": address[1]}
        if listener is not None:
            target = {"sock": listener}
        self.listener = await self.loop.create_server(
            lambda: caller.CallerConnection(self), backlog=BACKLOG, **target
        )
        bound = self.listener.sockets[0].getsockname()
        return Endpoint(bound[0], bound[1])

    def reload(self, settings: options.Settings) -> None:
        """Puts reloaded settings in force."""
        changed = options.changed_start_settings(self.settings, settings)
        if changed:
            events.emit(events.SettingsNeedRestart(changed))
        self.settings = settings
        self.relays.update(settings.seeds)

    def not_ready_reason(self) -> str:
        """Returns why the daemon is not ready, or an empty text if it is."""
        if self.draining:
            return "the daemon is shutting down"
        if self.store_view.routes is None:
            return "no document is in force"
        if not self.store_view.registrations.listed:
            return "the list of servers was not read yet"
        if not self.store_view.evacuations.listed:
            return "the evacuated zones are not known"
        return ""

    async def drain(self, limit_s: float) -> int:
        """Stops listening and waits until callers' connections are closed.

        Args:
            limit_s: Time until the process is killed, in seconds.

        Returns:
            Number of calls that are cut, as they are still in flight.
        """
        self.draining = True
        self.store_view.begin_shutdown()
        deadline = self.loop.time() + limit_s - SHUTDOWN_RESERVE_S
        self.chooser.drain_ends_at = deadline
        await asyncio.sleep(min(DRAIN_LISTEN_S, limit_s / 2))
        if self.listener is not None:
            self.listener.close()
        await asyncio.sleep(ACCEPT_SETTLE_S)
        for connection in list(self.connections):
            connection.drain()
        # It may be set if no connection was open for a moment.
        self.all_closed.clear()
        self.signal_if_drained()
        try:
            async with asyncio.timeout_at(deadline):
                await self.all_closed.wait()
        except TimeoutError:
            events.emit(events.CallsCut(self._in_flight()))
        return self._in_flight()

    async def run_housekeeping(self) -> None:
        """Removes expired state periodically until it is cancelled."""
        due = self.loop.time()
        while True:
            due = max(due, self.loop.time()) + HOUSEKEEPING_S
            await asyncio.sleep(due - self.loop.time())
            now = self.loop.time()
            self.stalls.check(now - due)
            self.store_view.expire(now)
            registered = self.store_view.table.servers()
            self.server_limits.expire(registered, now)
            self.server_backoffs.expire(registered, now)
            self.chooser.placement.speeds.retain(registered)
            self.crash_detector.tracker.table.period_s = (
                self.settings.quarantine_s
            )
            self.crash_detector.tracker.expire(now)
            self.allowances.expire(now)
            self.load_reports.check(self.store_view.table.by_service, now)
            self.returning_callers.expire(now)
            self.min_recent_share()
            for server_pool in self.pools.values():
                server_pool.expire(now)
            await self.forwarder.expire(now)
            if self.store_view.routes is not None:
                names = self.store_view.routes.names
                self.durations.retain_routes(names)
                self.transfers.retain_routes(names)
                self.caller_budgets.retain_routes(names)

    async def close(self) -> None:
        """Closes every connection to servers and peers."""
        self.quarantine_sync.close()
        for server_pool in self.pools.values():
            server_pool.close()
        self.reachability.close()
        await self.forwarder.close()
        await self.allowances.close()
        await self.returning_callers.close()
        self.stalls.close()
        await self.store_view.reader.close()

    async def handle_peer(self, request: messages.Request) -> messages.Response:
        """Handles a request of a peer."""
        if request.path.startswith(quarantine_sync.PATH):
            return self.quarantine_sync.handle(request)
        if request.path == relay_succession.PATH:
            return self.relay_succession.handle(request)
        if request.path == daemon_list.PATH:
            return self.forwarder.daemons.handle(request)
        if request.path == allowance_parts.PATH:
            return self.allowances.relay_grants.part.handle(request)
        if request.path == allowance_grants.PATH:
            return self.allowances.relay_grants.handle(request)
        if request.path == rejection_relay.PATH and self.shares_load():
            return self.returning_callers.relay.handle(request)
        if request.path == forwarding.PATH:
            return await self.forwarded_calls.handle(request)
        return await self.store_view.mirror.handle(request)

    def pool_of(self, server: types.Server) -> pool.Pool:
        """Returns the connection pool of a server.

        For a server that left or restarted, returns a closed pool that keeps
        nothing: pools are keyed by instance, which a restarted server may keep.
        """
        if not self.store_view.table.is_registered(server):
            closed = pool.Pool(server, MIN_CONNECTIONS, self.tallies.opened)
            closed.close()
            return closed
        server_pool = self.pools.get(server.instance)
        if server_pool is None:
            source = self.settings.server_source
            server_pool = pool.Pool(
                server, MIN_CONNECTIONS, self.tallies.opened, source
            )
            self.pools[server.instance] = server_pool
        server_pool.max_size = self._max_connections(server.service)
        return server_pool

    def budget_of(self, service: str) -> budget.RetryBudget:
        """Returns the retry budget of a service."""
        service_budget = self.budgets.get(service)
        if service_budget is None:
            rounding = budget.rounding(self.settings.daemon, service)
            service_budget = budget.RetryBudget(0.0, 0.0, 0.0, rounding)
            self.budgets[service] = service_budget
        # Settings may have changed; retries already spent still count.
        service_budget.window_s = self.settings.retry_window_s
        service_budget.ratio = self.settings.retry_ratio * USABLE_BUDGET_RATIO
        service_budget.extra = (
            self.settings.retry_extra * self.min_recent_share()
        )
        return service_budget

    def shares_load(self) -> bool:
        """Returns whether daemons share what they know of the load."""
        if self.settings.load_sharing != "auto":
            return self.settings.load_sharing == "on"
        routes = self.store_view.routes
        return routes is not None and routes.calls_for_load_sharing

    def record_load(self, server: types.Server, load: types.Load) -> None:
        """Records the load of a server, for this daemon and the others."""
        if self.shares_load():
            self.service_loads.record_load(
                server.service,
                server.zone,
                server.instance,
                load,
                self.loop.time(),
            )

    def shared_load(
        self, service: str, now: float
    ) -> service_load.ZoneLoad | None:
        """Returns the load of a service; None if unknown or not shared."""
        if not self.shares_load():
            return None
        return self.service_loads.service_load(service, now)

    def min_recent_share(self) -> float:
        """Returns the smallest share during the last retry window."""
        if not self.relays.addresses:
            return UNCOUNTED_FLEET_SHARE
        now = self.loop.time()
        self.shares.window_s = self.settings.retry_window_s
        self.shares.record(self.share(), now)
        return self.shares.minimum(now)

    def share(self) -> float:
        """Returns this daemon's share of the fleet's budgets, from 0 to 1.

        If the daemons can be counted, the share is 0 until they were.
        """
        if not self.relays.addresses:
            return UNCOUNTED_FLEET_SHARE
        return (self.store_view.reader.budget_share or 0.0) * USABLE_SHARE_RATIO

    def remove_connection(self, connection: caller.CallerConnection) -> None:
        """Removes a closed connection of a caller."""
        self.connections.discard(connection)
        self.signal_if_drained()

    def signal_if_drained(self) -> None:
        """Ends the drain once no connection and no forwarded call is left."""
        unused = not self.connections and not self.forwarded_calls.running
        if self.draining and unused:
            self.all_closed.set()

    def record_call(
        self, call: calls.Call, status: int, error: ErrorKind | None
    ) -> None:
        """Counts and logs a finished call."""
        progress = call.progress
        duration_s = self.loop.time() - call.request.received
        route = call.route.name if call.route is not None else ""
        if call.forwarded_by:
            self.tallies.received[call.service, status] += 1
        else:
            self.tallies.record_call(
                call.service, route, status, error, progress.sends, duration_s
            )
        successful = error is None and status < 500 and progress.sends <= 1
        skipped = self.sampler.begin_second(self.loop.time())
        if skipped is not None:
            events.emit(call_events.CallsNotLogged(*skipped))
        if self.sampler.should_log(successful):
            document_age_s = self.store_view.document_age_s()
            call_log.log_call(call, status, error, duration_s, document_age_s)

    def _connect_relays(self, change: relays.RelayChange | None = None) -> None:
        """Lets queries to relays carry what daemons tell each other."""
        del change
        for peer in self.relays.peers:
            self.store_view.connect(peer)
            peer.on_successors = self.relays.set_successors
            peer.on_mark = self.quarantine_sync.receive_mark
            peer.server_limits = self.server_limits
            peer.load_reports = None
            peer.contact = self.forwarder.daemons.contact.to_query
        for peer in self.store_view.reader.upstream_relays:
            peer.load_reports = self.load_reports

    def _possible_successors(self) -> list[mirror.Contact]:
        """Returns daemons that this relay tells the first relay of."""
        if not self.relays.is_relay:
            return []
        in_use = self.relays.addresses
        contacts = self.store_view.mirror.contacts()
        others = [one for one in contacts if one.address not in in_use]
        return others[: relay_succession.MAX_SUCCESSORS]

    def _run_waiting_calls(self) -> None:
        """Starts pipelined reads once the first document is in force.

        Before the first document no request is known to be idempotent, so each
        waits for those before it on its connection.
        """
        for connection in tuple(self.connections):
            connection.run_waiting_calls()

    def _request_times(self, service: str) -> Iterable[float]:
        """Returns the loop times of the recent requests of a service."""
        found = self.budgets.get(service)
        return () if found is None else found.requests

    def _position(self) -> turns.FleetPosition:
        """Returns this daemon's position among those that take turns.

        While no relay has counted it, it takes few turns rather than none: only
        the response to a request shows that a server names no limit any more.
        """
        counted = self.store_view.reader.position
        if self.relays.addresses and counted is not None:
            return counted
        return turns.uncounted_position(self.settings.daemon)

    def _find_connected(
        self, entries: list[servers.ServerEntry]
    ) -> selection.ConnectedServers:
        """Returns which servers have an idle or only busy connections."""
        pools = [
            (entry.server.instance, self.pools.get(entry.server.instance))
            for entry in entries
        ]
        open_pools = [(name, held) for name, held in pools if held is not None]
        idle = frozenset(name for name, held in open_pools if held.has_idle())
        busy = frozenset(name for name, held in open_pools if held.busy)
        return selection.ConnectedServers(idle, busy - idle)

    def _zone_load(
        self, service: str, zone: str, now: float
    ) -> service_load.ZoneLoad | None:
        """Returns the load of a service in a zone; None if not shared."""
        if not self.shares_load():
            return None
        return self.service_loads.zone_load(service, zone, now)

    def _max_connections(self, service: str) -> int:
        definition = self.store_view.service(service)
        if definition is None:
            return MIN_CONNECTIONS
        return max(
            MIN_CONNECTIONS, int(definition.max_connections * self.share())
        )

    def _close_pool(self, server: types.Server) -> None:
        server_pool = self.pools.pop(server.instance, None)
        if server_pool is not None:
            server_pool.close()

    def _in_flight(self) -> int:
        """Counts the calls in flight, forwarded ones included."""
        own = sum(len(connection.pipeline) for connection in self.connections)
        return own + self.forwarded_calls.running
