"""Drives the dispatcher of a service: inputs, actions, timer and pools."""

import asyncio
import collections
import functools
import itertools
import ssl
from collections.abc import Callable

import structlog

from banyantiller.bundle import options
from banyantiller.config.defaults import BackendSettings
from banyantiller.errors import ErrorKind, Ran
from banyantiller.proxy import attempt as attempts
from banyantiller.proxy import call as calls
from banyantiller.proxy import (
    crashes,
    guard,
    load,
    probe,
    server_states,
    timers,
)
from banyantiller.proxy import pool as pools
from banyantiller.routing import types

log = structlog.get_logger("banyantiller.proxy")

# Interval at which a server that reported it is leaving is probed again.
RETURN_PROBE_S = 5.0
DENIED_PROBE_S = 0.5
# A status from here on is no evidence that a server can run a request.
FIRST_SERVER_ERROR = 500
TICK_RETRY_S = 0.1

LeavingHook = Callable[[str, str], None]


class ServiceDriver:
    """Owns the dispatcher and the pools of a service.

    Attributes:
        service: Options in force, with the shares of the current stage.
        calls: Calls known to the dispatcher, by identifier.
        attempts: Attempts known to the dispatcher, by identifier.
        pools: Pools by server name.
        leaving: Reasons by name of the servers that get no new requests.
        load_reader: Reads load reports from response headers.
        crash_detector: Detects requests that crash servers.
    """

    def __init__(
        self,
        service: options.Service,
        create: Callable[..., types.Dispatcher],
        charge: Callable[[float], bool],
        settings: BackendSettings,
        tls: ssl.SSLContext | None,
        on_leaving: LeavingHook,
        on_returned: LeavingHook | None = None,
        load_reader: load.LoadReader = load.ORCA,
        detector: crashes.CrashDetector | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.service = service
        self.crash_detector = detector or crashes.CrashDetector.standalone()
        self.charge = charge
        self.settings = settings
        self.tls = tls
        self.on_leaving = on_leaving
        self.on_returned = on_returned
        self.load_reader = load_reader
        self.alive = 1
        self.calls: dict[int, calls.Call] = {}
        self.attempts: dict[int, attempts.Attempt] = {}
        self.pools: dict[str, pools.Pool] = {}
        self.leaving: dict[str, str] = {}
        self.ids = itertools.count(1)
        self.action_queue: collections.deque[types.Action] = collections.deque()
        self.performing = False
        self.timer = timers.LazyTimer(self.loop, self._tick)
        self.return_timer = timers.LazyTimer(self.loop, self._probe_leaving)
        self._set_pools()
        states = server_states.of_service(service, self.leaving)
        self.dispatcher = create(service, states, self.loop.time())
        self._set_timer()

    # Called by the proxy.

    def configure(self, service: options.Service) -> None:
        """Applies new options; removed servers drain."""
        self.service = service
        before = self.pools.copy()
        self._set_pools()
        self._reconfigure()
        for name, pool in before.items():
            if self.pools.get(name) is not pool:
                pool.reject_waiting()

    def server_leaving(self, server: str, reason: str) -> None:
        """Stops sending new requests to a server; the last reason applies."""
        if server not in self.pools:
            return
        is_new = server not in self.leaving
        self.leaving[server] = reason
        if reason == "drain_answer":
            self.return_timer.set_lazily(self.loop.time() + RETURN_PROBE_S)
        if is_new:
            self._reconfigure()
            self.pools[server].reject_waiting()

    def server_returned(self, server: str) -> None:
        """Resumes sending requests to a server."""
        if self.leaving.pop(server, None) is not None:
            if self.on_returned is not None:
                self.on_returned(self.service.name, server)
            self._reconfigure()

    def set_alive_daemons(self, alive: int) -> None:
        """Splits the connection limit among the daemons that are alive."""
        self.alive = max(1, alive)
        self.dispatcher.members(self.alive, self.loop.time())
        for pool in self.pools.values():
            pool.set_limit(self._connection_limit())
        self._set_timer()

    def receive_report(self, server: str, report: types.LoadReport) -> None:
        """Handles a load report from a probe or a peer."""
        if server not in self.pools:
            return
        if report.draining:
            self._mark_draining(server)
        now = self.loop.time()
        self.perform(self.dispatcher.report(server, report, now))

    def retire(self) -> None:
        """Lets running calls end after the service was removed."""
        self.return_timer.stop()
        for pool in self.pools.values():
            pool.retire()

    def is_idle(self) -> bool:
        """Returns whether no call is left."""
        return not self.calls and not self.attempts

    def close(self) -> None:
        """Cancels every attempt and closes every connection."""
        self.timer.stop()
        self.return_timer.stop()
        for attempt in list(self.attempts.values()):
            attempt.cancel()
        self.attempts.clear()
        for pool in self.pools.values():
            pool.close()

    # Called by calls and attempts.

    def submit(self, call: calls.Call) -> None:
        """Submits a call to the dispatcher."""
        call.call_id = next(self.ids)
        self.calls[call.call_id] = call
        length = call.head.content_length
        body_bytes = length if length is not None else call.body.size
        request = types.Call(
            call_id=call.call_id,
            idempotent=call.idempotent,
            deadline=call.deadline,
            replayable=body_bytes <= call.body.limit
            and (call.body.complete or not call.head.chunked)
            and not self.crash_detector.is_suspect(call),
        )
        self.perform(self.dispatcher.submit(request, self.loop.time()))

    def handle_result(
        self, attempt: attempts.Attempt, result: types.AttemptResult
    ) -> None:
        """Handles the response head or the failure of an attempt."""
        call = attempt.call
        if not result.ok:
            self.attempts.pop(attempt.attempt_id, None)
            call.running_attempts.remove(attempt)
            if (
                attempt.connection is not None
                and attempt.connection.has_written
            ):
                call.sent_attempts += 1
            if result.ran is not Ran.NO:
                call.may_have_run = True
        now = self.loop.time()
        self.perform(
            self.dispatcher.attempt_head(attempt.attempt_id, result, now)
        )
        if result.report is not None and result.report.draining:
            self._mark_draining(attempt.server)

    def record_response(self, attempt: attempts.Attempt) -> None:
        """Records a complete response: the request did not crash the server."""
        if attempt.response.status_code < FIRST_SERVER_ERROR:
            self.crash_detector.record_response(attempt.call)

    def record_loss(self, attempt: attempts.Attempt, by_server: bool) -> None:
        """Records that an attempt ended without a complete response.

        Args:
            attempt: The attempt.
            by_server: Whether the server broke the connection, in which case
                it is checked whether the server is still reachable.
        """
        if attempt.server in self.leaving:
            return
        server = f"{self.service.name}/{attempt.server}"
        self.crash_detector.record_loss(
            server, attempt.call, attempt.started_at
        )
        if by_server or self.crash_detector.is_suspect(attempt.call):
            attempt.pool.check_reachable()

    def should_retry(self, attempt: attempts.Attempt) -> bool:
        """Returns whether a call may be retried at another server."""
        server = f"{self.service.name}/{attempt.server}"
        return self.crash_detector.should_retry(attempt.call, server)

    def attempt_done(self, attempt: attempts.Attempt) -> None:
        """Handles the end of a relayed response."""
        if self.attempts.pop(attempt.attempt_id, None) is None:
            return
        attempt.call.running_attempts.remove(attempt)
        now = self.loop.time()
        self.perform(self.dispatcher.attempt_done(attempt.attempt_id, now))

    def cancel_call(self, call: calls.Call) -> None:
        """Cancels a call and its attempts."""
        if self.calls.pop(call.call_id, None) is None:
            return
        if call.relayed_attempt is not None:
            guard.run(call.relayed_attempt.cancel)
            self.attempt_done(call.relayed_attempt)
            return
        now = self.loop.time()
        self.perform(self.dispatcher.cancel(call.call_id, now))
        for attempt in list(call.running_attempts):
            self._cancel(attempt.attempt_id)

    # Called by probes.

    def probe_succeeded(self, server: str, report: types.LoadReport) -> None:
        """Handles the load reported to a probe."""
        if not report.draining and self.leaving.get(server) == "drain_answer":
            self.server_returned(server)
        self.receive_report(server, report)

    def probe_failed(self, server: str) -> None:
        """Handles a probe without a usable response."""
        if server in self.pools:
            now = self.loop.time()
            self.perform(self.dispatcher.probe_failed(server, now))

    # Internal.

    def perform(self, actions: list[types.Action]) -> None:
        """Performs actions in order, including those that they lead to."""
        self.action_queue.extend(actions)
        if self.performing:
            return
        self.performing = True
        try:
            while self.action_queue:
                action = self.action_queue.popleft()
                if not guard.run(self._perform_action, action):
                    self._fail_attempt(action)
        finally:
            self.performing = False
            self._set_timer()

    def _perform_action(self, action: types.Action) -> None:
        action_type = type(action)
        if action_type is types.Start:
            self._start(action)
        elif action_type is types.Relay:
            self._relay(action)
        elif action_type is types.Cancel:
            self._cancel(action.attempt_id)
        elif action_type is types.Refuse:
            self._refuse(action)
        else:
            self._probe(action.server)

    def _fail_attempt(self, action: types.Action) -> None:
        # The dispatcher counts a slot as used until the attempt ends.
        if not isinstance(action, types.Start | types.Relay):
            return
        attempt = self.attempts.get(action.attempt_id)
        if attempt is not None:
            guard.run(attempt.fail_internally)

    def _start(self, action: types.Start) -> None:
        call = self.calls.get(action.call_id)
        pool = self.pools.get(action.server)
        if call is None or pool is None:
            result = types.AttemptResult(
                ok=False, ran=Ran.NO, error=ErrorKind.NO_SERVER
            )
            now = self.loop.time()
            self.action_queue.extend(
                self.dispatcher.attempt_head(action.attempt_id, result, now)
            )
            return
        attempt = attempts.Attempt(self, call, action, pool)
        self.attempts[action.attempt_id] = attempt
        call.running_attempts.append(attempt)
        pool.acquire(attempt)

    def _relay(self, action: types.Relay) -> None:
        attempt = self.attempts.get(action.attempt_id)
        if attempt is not None and action.call_id in self.calls:
            attempt.relay()

    def _cancel(self, attempt_id: int) -> None:
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is not None:
            attempt.call.running_attempts.remove(attempt)
            guard.run(attempt.cancel)

    def _refuse(self, action: types.Refuse) -> None:
        call = self.calls.pop(action.call_id, None)
        if call is None:
            return
        for attempt in list(call.running_attempts):
            self._cancel(attempt.attempt_id)
        if not guard.run(call.refuse, action.failure):
            call.fail_internally()

    def _probe(self, server: str) -> None:
        pool = self.pools.get(server)
        if pool is not None:
            probe.Probe(self, server, pool).start()

    def _mark_draining(self, server: str) -> None:
        if server in self.pools and server not in self.leaving:
            self.server_leaving(server, "drain_answer")
            self.on_leaving(self.service.name, server)

    def _probe_leaving(self) -> None:
        now = self.loop.time()
        draining = [s for s, r in self.leaving.items() if r == "drain_answer"]
        pause_s = RETURN_PROBE_S
        for server in draining:
            if self.charge(now):
                self._probe(server)
            else:
                # A denied probe may be allowed soon, but only for a short time.
                pause_s = DENIED_PROBE_S
        if draining:
            self.return_timer.set_lazily(now + pause_s)

    def _reconfigure(self) -> None:
        now = self.loop.time()
        states = server_states.of_service(self.service, self.leaving)
        self.perform(self.dispatcher.configure(self.service, states, now))

    def _set_pools(self) -> None:
        addresses = {
            server.name: pools.Address(server.address, server.port)
            for server in self.service.servers
        }
        for name, pool in list(self.pools.items()):
            if addresses.get(name) != pool.address:
                del self.pools[name]
                self.leaving.pop(name, None)
                pool.retire()
        for name, address in addresses.items():
            if name not in self.pools:
                pool = pools.Pool(
                    address, self.settings, self.tls, self._connection_limit()
                )
                pool.on_refused = functools.partial(self._on_refused, name)
                self.pools[name] = pool
            else:
                self.pools[name].set_limit(self._connection_limit())

    def _on_refused(self, server: str) -> None:
        if server not in self.leaving:
            self.crash_detector.record_refusal(f"{self.service.name}/{server}")

    def _connection_limit(self) -> int:
        return max(1, self.service.connections // self.alive)

    def _tick(self) -> None:
        if not guard.run(self._run_tick):
            # Without a timer no deadline would expire any more.
            self.timer.set_exactly(self.loop.time() + TICK_RETRY_S)

    def _run_tick(self) -> None:
        self.perform(self.dispatcher.tick(self.loop.time()))

    def _set_timer(self) -> None:
        due = self.dispatcher.next_tick()
        self.timer.set_exactly(timers.NEVER if due is None else due)
