"""One attempt: a call is sent to one server."""

import asyncio
import math

from banyantiller.errors import ErrorKind
from banyantiller.gateway import (
    call_events,
    events,
    exchange,
    pool,
    probing,
    protocols,
    servers,
    types,
)
from banyantiller.http import messages
from banyantiller.quarantine import crash_tracker

# Statuses that report a fault of the server itself. 504 is not among them: it
# reports an expired time limit.
SERVER_FAULT_STATUSES = frozenset((500, 501, 502, 503))


class RunningAttempt:
    """An attempt of a call that runs as a task.

    Attributes:
        entry: The server, or None if another daemon chooses it.
        started_at: Loop time at which the attempt started.
        sent: Whether the request was sent, so that a server may execute it.
        sent_at: Loop time at which it was sent.
        probed: Whether the server or daemon was probed since.
        task: Task of the attempt; its result is the outcome.
    """

    def __init__(
        self,
        call: protocols.RunningCall,
        entry: servers.ServerEntry | None,
    ) -> None:
        self.call = call
        self.gateway = call.gateway
        self.loop = call.loop
        self.entry = entry
        self.started_at = self.loop.time()
        self.sent = False
        self.sent_at = 0.0
        self.probed = False
        self.task = self.loop.create_task(self._run())

    async def cancel(self) -> None:
        """Cancels; closing the connection makes the server stop its work."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def finish(self) -> exchange.Outcome:
        """Records the result of an ended attempt and returns the outcome."""
        raise NotImplementedError

    async def is_responsive(self, service: types.Service) -> bool:
        """Returns whether the server or daemon responds to a probe."""
        raise NotImplementedError

    async def _run(self) -> exchange.Outcome:
        raise NotImplementedError


class Attempt(RunningAttempt):
    """Sends a call to a server and waits for the response.

    Attributes:
        candidate: The server's reported load, and a connection if one is open.
    """

    def __init__(
        self, call: protocols.RunningCall, candidate: probing.Candidate
    ) -> None:
        self.candidate = candidate
        super().__init__(call, candidate.entry)

    async def is_responsive(self, service: types.Service) -> bool:
        """Returns whether the server responds to a probe, or gets none."""
        if not self.gateway.chooser.accepts(self.entry):
            return True
        candidates = await self.gateway.prober.probe(
            [self.entry], service.health_path
        )
        self.gateway.prober.release(candidates)
        if candidates:
            return True
        events.emit(
            call_events.ServerSuspected(
                self.call.request.request_id, self.entry.server.instance
            )
        )
        return False

    def finish(self) -> exchange.Outcome:
        """Records the result in the server's health and returns the outcome."""
        outcome = self.task.result()
        entry = self.entry
        now = self.loop.time()
        self._record_outcome(outcome, now)
        if isinstance(outcome, exchange.NotRun):
            self.call.progress.reason = outcome.kind.value
            if outcome.moved:
                self.gateway.store_view.remove_moved(entry.server)
            if outcome.kind is not ErrorKind.NO_SERVER:
                # A server that rejects work despite a free slot has failed.
                entry.health.record_result(
                    not self.candidate.ready(math.inf), now
                )
            self._log_failure(outcome.kind.value, "")
        elif isinstance(outcome, exchange.BrokenResponse):
            self.call.progress.reason = outcome.reason
            entry.health.record_result(False, now)
            if outcome.kind is ErrorKind.CONNECTION_LOST:
                self.gateway.chooser.placement.full_resets.record_reset(
                    self.call.service,
                    self.candidate.load,
                    now - self.sent_at,
                    self.call.progress.usual_s,
                    now,
                )
            self._log_failure(outcome.kind.value, outcome.reason)
        else:
            entry.health.record_result(outcome.status < 500, now)
            self.gateway.prober.record_response_load(entry, outcome.headers)
            if outcome.status < 500:
                fingerprint = self.call.request.fingerprint
                self.gateway.crash_detector.tracker.record_response(
                    fingerprint, now
                )
                took_s = now - self.started_at
                self.gateway.durations.record_duration(
                    self.call.route.name, took_s, now
                )
                self.gateway.chooser.placement.record_duration(
                    entry.server,
                    self.candidate.load,
                    took_s,
                    self.call.progress.usual_s,
                )
            if outcome.status in SERVER_FAULT_STATUSES:
                instance = entry.server.instance
                self.gateway.store_view.local_failures.record_failure(
                    instance, now
                )
            if outcome.status >= 500:
                self._log_failure("server_error", f"status {outcome.status}")
        return outcome

    async def _run(self) -> exchange.Outcome:
        server = self.entry.server
        server_pool = self.gateway.pool_of(server)
        candidate = self.candidate
        self._drop_ambiguous_link(server_pool)
        if candidate.link is None:
            try:
                # A request on an idle connection that was not verified just
                # now may be lost without an error.
                proven_only = not self.call.idempotent
                candidate.link = await server_pool.acquire(proven_only)
            except (OSError, pool.PoolFullError) as error:
                if isinstance(error, ConnectionRefusedError):
                    self.gateway.crash_detector.record_refused_connection(
                        server
                    )
                events.emit(
                    call_events.ConnectFailed(
                        self.call.request.request_id,
                        server.instance,
                        str(error) or type(error).__name__,
                    )
                )
                return exchange.NotRun(ErrorKind.CONNECT_FAILED)
        link = candidate.link
        if not self.gateway.chooser.accepts(self.entry):
            # The server left or asked for a backoff, or its zone was
            # evacuated, during the connect.
            server_pool.put_idle(link)
            return exchange.NotRun(ErrorKind.NO_SERVER)
        self._record_send()
        self.entry.in_flight += 1
        outcome = None
        try:
            outcome = await exchange.run(
                link,
                self.call.outgoing,
                server.instance,
                self.call.deadline - self.loop.time(),
                self.gateway.adapter.wire,
                self.gateway.response_memory,
                self._record_head,
            )
        finally:
            self.entry.in_flight -= 1
            if isinstance(outcome, exchange.CompleteResponse | exchange.NotRun):
                server_pool.release(link)
            else:
                server_pool.discard(link)
                self._record_no_response(outcome)
        return outcome

    def _drop_ambiguous_link(self, server_pool: pool.Pool) -> None:
        """Closes a connection on which a rejection would prove nothing.

        It may be the late copy of an earlier one. A request that must not be
        executed twice could be executed and still be sent to another server.
        """
        link = self.candidate.link
        if link is None or self.call.idempotent or not link.ambiguous:
            return
        server_pool.discard(link, pool.OpenReason.AMBIGUOUS)
        self.candidate.link = None

    def _record_head(self, response: messages.Response) -> None:
        self.gateway.response_recorders.to_request(
            self.entry.server, response, self.sent_at
        )

    def _record_no_response(
        self, outcome: exchange.BrokenResponse | None
    ) -> None:
        """Records a missing response; `outcome` is None after a cancel."""
        request = self.call.request
        unanswered = crash_tracker.UnansweredRequest(
            request.fingerprint,
            request.request_id,
            self.sent_at,
            self.loop.time(),
        )
        connection_lost = (
            outcome is not None and outcome.kind is ErrorKind.CONNECTION_LOST
        )
        self.gateway.crash_detector.record_no_response(
            self.entry.server, unanswered, connection_lost
        )

    def _record_send(self) -> None:
        now = self.loop.time()
        progress = self.call.progress
        progress.sends += 1
        progress.instances.append(self.entry.server.instance)
        self.entry.sends += 1
        progress.load = self.candidate.load
        progress.answered_count = self.candidate.answered_count
        progress.load_age_s = now - self.candidate.probed_at
        progress.sent_after_s = now - self.call.request.received
        self.sent = True
        self.sent_at = now

    def _record_outcome(self, outcome: exchange.Outcome, now: float) -> None:
        """Records the outcome in the load of the service, if that is shared."""
        if not (self.sent and self.gateway.shares_load()):
            return
        server = self.entry.server
        loads = self.gateway.service_loads
        rejected = isinstance(outcome, exchange.NotRun)
        if rejected and outcome.kind is not ErrorKind.BACKEND_SHED:
            return
        with_free_slot = self.candidate.ready(math.inf)
        loads.record_send(
            server.service, server.zone, rejected and with_free_slot, now
        )
        if isinstance(outcome, exchange.CompleteResponse):
            loads.record_duration(
                server.service, server.zone, now - self.sent_at, now
            )

    def _log_failure(self, kind: str, reason: str) -> None:
        load = self.candidate.load
        self.gateway.tallies.failed_attempts[self.call.service, kind] += 1
        self.entry.failed_sends += 1
        events.emit(
            call_events.AttemptFailed(
                id=self.call.request.request_id,
                instance=self.entry.server.instance,
                kind=kind,
                reason=reason,
                load=load and list(load),
                failures=round(self.entry.health.failure_rate, 2),
                fingerprint=self.call.request.fingerprint,
            )
        )
