"""The data path of a daemon: listener, services and drain."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import h11
import structlog

from banyantiller.bundle import options
from banyantiller.claims.types import Claims
from banyantiller.config.defaults import Endpoint, Settings
from banyantiller.errors import Failure
from banyantiller.kernel import core
from banyantiller.kernel.events import (
    CallFinished,
    ProbeCharged,
    ServerLeaving,
    ServerReturned,
)
from banyantiller.proxy import (
    admission,
    caller,
    crashes,
    driver,
    headers,
    load,
    responses,
    services,
)
from banyantiller.proxy import call as calls
from banyantiller.routing.types import Dispatcher, LoadReport
from banyantiller.utils import tls

log = structlog.get_logger("banyantiller.proxy")

BACKLOG = 1024
CLAIM_SETTLE_TIMEOUT_S = 2.0

DispatcherFactory = Callable[..., Dispatcher]
Charge = Callable[[float], bool]


def _never_outdated() -> bool:
    return False


class Proxy:
    """Accepts calls from callers and relays the responses of backend servers.

    Attributes:
        fenced: Whether every call is rejected as not run.
        in_flight: Number of calls that have begun and not ended.
        draining: Whether responses carry `Connection: close`.
        refusing: Whether new calls are rejected, at the end of a drain.
        version: Version of the bundle in force, or 0.
        is_outdated: Returns whether a newer bundle may have been accepted;
            called before the bundle in force leads to a final rejection.
        services: The services of the bundle in force.
        crash_detector: Detects requests that crash servers.
        all_closed: Set once no caller's connection and no claim is left.
    """

    def __init__(
        self,
        settings: Settings,
        kernel: core.Kernel,
        routing_factory: DispatcherFactory,
        claims: Claims,
        charge: Callable[[str], Charge],
        wall: Callable[[], float],
        seed: int,
        load_reader: load.LoadReader = load.ORCA,
    ) -> None:
        self.settings = settings
        self.kernel = kernel
        self.routing_factory = routing_factory
        self.claims = claims
        self.charge = charge
        self.wall = wall
        self.load_reader = load_reader
        self.random = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.fenced = False
        self.in_flight = 0
        self.draining = False
        self.refusing = False
        self.version = 0
        self.is_outdated: Callable[[], bool] = _never_outdated
        self.services = services.Services(self._new_driver, wall)
        self.crash_detector = crashes.CrashDetector.from_settings(
            settings, kernel, wall, seed
        )
        self.callers: set[caller.CallerConnection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.all_closed = asyncio.Event()
        self.server: asyncio.Server | None = None
        via = f"1.1 {settings.daemon}".encode("ascii")
        self.via = headers.field(b"Via", via)
        self.backend_tls = tls.client_context(settings.backends.tls)
        self.id_prefix = b"%016x" % self.random.getrandbits(64)
        self.id_count = 0

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        kernel: core.Kernel,
        routing_factory: DispatcherFactory,
        claims: Claims,
        charge: Callable[[str], Charge],
        wall: Callable[[], float],
        seed: int,
        load_reader: load.LoadReader = load.ORCA,
    ) -> "Proxy":
        """Creates a proxy that does not listen yet; needs a running loop.

        Args:
            settings: Settings of the daemon.
            kernel: Receives the events.
            routing_factory: Creates a dispatcher; see `routing.types`.
            claims: Grants idempotency keys.
            charge: Returns, for a service, the function that charges a probe
                to the measuring budget.
            wall: Returns wall-clock seconds, for events and stages.
            seed: Seed of identifiers and of the dispatchers.
            load_reader: Reads load reports from response headers.
        """
        return cls(
            settings,
            kernel,
            routing_factory,
            claims,
            charge,
            wall,
            seed,
            load_reader,
        )

    @property
    def drivers(self) -> dict[str, driver.ServiceDriver]:
        """The drivers by service name."""
        return self.services.drivers

    # Called by the daemon.

    def apply(
        self, bundle: options.Bundle, version: int, accepted_at: float
    ) -> None:
        """Puts a bundle in force for new calls.

        Running calls end under the bundle with which they began. Removed
        servers and services drain.
        """
        self.services.apply(bundle, accepted_at)
        self.version = version

    def server_leaving(self, service: str, server: str, reason: str) -> None:
        """Stops sending new requests to a server."""
        if service in self.drivers:
            self.drivers[service].server_leaving(server, reason)

    def server_returned(self, service: str, server: str) -> None:
        """Resumes sending requests to a server that was leaving."""
        if service in self.drivers:
            self.drivers[service].server_returned(server)

    def receive_report(
        self, service: str, server: str, load: LoadReport
    ) -> None:
        """Handles a load report that a peer sent."""
        if service in self.drivers:
            self.drivers[service].receive_report(server, load)

    def set_alive_daemons(self, alive: int) -> None:
        """Sets the number of daemons that are alive, including this one."""
        self.services.set_alive_daemons(alive)

    def own_load(self) -> dict[str, dict[str, float]]:
        """Returns this daemon's calls in flight by service and server."""
        now = self.loop.time()
        return {
            name: item.dispatcher.own_load(now)
            for name, item in self.drivers.items()
        }

    async def start(self) -> Endpoint:
        """Starts listening for callers.

        Returns:
            The address and the port that are bound.

        Raises:
            OSError: The address can't be bound.
        """
        listen = self.settings.callers.listen
        self.server = await self.loop.create_server(
            lambda: caller.CallerConnection(self),
            listen.address,
            listen.port,
            ssl=tls.server_context(self.settings.callers.tls),
            backlog=BACKLOG,
        )
        bound = self.server.sockets[0].getsockname()
        log.info("proxy: listening.", address=bound[0], port=bound[1])
        return Endpoint(bound[0], bound[1])

    async def drain(self, grace_s: float, limit_s: float) -> int:
        """Shuts down after the calls in flight have ended.

        Args:
            grace_s: Seconds to continue listening, so that load balancers in
                front see the failed readiness check.
            limit_s: Maximum seconds to wait for calls in flight after that.

        Returns:
            Number of calls that the limit cut, including those whose caller
            has not read the complete response yet.
        """
        self.draining = True
        await asyncio.sleep(grace_s)
        self.refusing = True
        if self.server is not None:
            self.server.close()
        for connection in list(self.callers):
            connection.close_if_idle()
        self._check_all_closed()
        try:
            await asyncio.wait_for(self.all_closed.wait(), limit_s)
        except TimeoutError:
            pass
        cut = self.in_flight + sum(map(_has_unsent, self.callers))
        log.info("proxy: drained.", cut=cut)
        return cut

    async def close(self) -> None:
        """Closes the listener and all connections at once.

        Claims of calls that are cut have `CLAIM_SETTLE_TIMEOUT_S` to settle.
        """
        if self.server is not None:
            self.server.close()
        for connection in list(self.callers):
            connection.close_now()
        self.services.close()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=CLAIM_SETTLE_TIMEOUT_S)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    # Called by connections and calls.

    def add_connection(self, connection: caller.CallerConnection) -> bool:
        """Adds a caller's connection; returns False above the limit."""
        self.callers.add(connection)
        return len(self.callers) <= self.settings.callers.max_connections

    def remove_connection(self, connection: caller.CallerConnection) -> None:
        """Removes a caller's connection."""
        self.callers.discard(connection)
        if self.refusing:
            self._check_all_closed()

    def start_call(
        self, connection: caller.CallerConnection, request: h11.Request
    ) -> None:
        """Starts a call for a request head."""
        head = headers.read_request(request)
        call = calls.Call(self, connection, request, head)
        connection.call = call
        self.in_flight += 1
        failure = admission.admit(self, call)
        if failure is not None:
            call.refuse(failure)
        elif call.claim is None and not self.crash_detector.has_quarantined():
            call.driver.submit(call)
        else:
            # The body is part of a claim, and of the fingerprint that
            # identifies a request that crashes servers.
            call.awaits_body = call.claim is None
            call.send_continue()

    def reject(
        self, connection: caller.CallerConnection, failure: Failure
    ) -> None:
        """Responds where no request head could be parsed, and closes."""
        request_id = self.new_request_id()
        response = responses.from_failure(
            failure, failure.response.ran, self.settings.daemon, request_id
        )
        connection.send_local_response(response, request_incomplete=True)
        connection.response_done()
        event = CallFinished(
            request_id=request_id.decode("ascii"),
            service="",
            idempotent=False,
            key="",
            server="",
            status=response.status,
            error=failure.error_kind,
            attempts=0,
            cut=False,
            duration_s=self.loop.time() - connection.head_started_at,
            bundle=self.version,
            told=failure.response.ran,
        )
        self.in_flight += 1
        self.call_finished(event)

    def call_finished(self, event: CallFinished) -> None:
        """Counts the end of a call and emits its event."""
        self.in_flight -= 1
        self.kernel.emit(event)
        if self.settings.log.access:
            log.info("proxy: call finished.", **event._asdict())
        if self.services.retired:
            self.loop.call_soon(self.services.close_retired)

    def spawn(self, body: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine of a claim; a drain waits for it."""
        task = self.loop.create_task(body)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def new_request_id(self) -> bytes:
        """Returns an identifier for a request that has none."""
        self.id_count += 1
        return b"%b%08x" % (self.id_prefix, self.id_count)

    def new_traceparent(self) -> bytes:
        """Returns a `traceparent` for a request that has none."""
        trace_id = self.random.getrandbits(128)
        return b"00-%032x-%016x-00" % (trace_id, trace_id >> 64 | 1)

    # Internal.

    def _new_driver(self, service: options.Service) -> driver.ServiceDriver:
        charge_budget = self.charge(service.name)

        def charge(now: float) -> bool:
            if not charge_budget(now):
                return False
            self.kernel.emit(ProbeCharged(service.name, self.wall()))
            return True

        def create(
            service: options.Service, servers: tuple, now: float
        ) -> Dispatcher:
            return self.routing_factory(
                service,
                servers,
                self.settings.daemon,
                self.settings.zone,
                self.random.getrandbits(32),
                now,
                charge,
            )

        return driver.ServiceDriver(
            service,
            create,
            charge,
            self.settings.backends,
            self.backend_tls,
            self._announce_leaving,
            self._announce_returned,
            self.load_reader,
            self.crash_detector,
        )

    def _announce_leaving(self, service: str, server: str) -> None:
        self.kernel.emit(
            ServerLeaving(service, server, "drain_answer", self.wall())
        )

    def _announce_returned(self, service: str, server: str) -> None:
        self.kernel.emit(ServerReturned(service, server, self.wall()))

    def _check_all_closed(self) -> None:
        if not self.callers and not self.tasks:
            self.all_closed.set()

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if self.refusing:
            self._check_all_closed()
        if not task.cancelled() and task.exception() is not None:
            log.error("proxy: claim task failed.", error=repr(task.exception()))


def _has_unsent(connection: caller.CallerConnection) -> bool:
    if connection.call is not None:
        return False
    return connection.transport.get_write_buffer_size() > 0
