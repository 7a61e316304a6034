"""One try of a call at one server."""

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
)
from banyantiller.http import messages
from banyantiller.quarantine import crash_tracker

# Statuses with which a server tells of a fault of its own, and not of a time
# that passed.
FAULT_STATUSES = frozenset((500, 501, 502, 503))


class Attempt:
    """Sends a call to a server and waits for the answer.

    Attributes:
        entry: The server.
        candidate: What it told of its load.
        started_at: Loop time at which the try began.
        sent: Whether the server may be executing the call.
        sent_at: Loop time at which it was sent.
        task: Runs the try; its result is the outcome.
    """

    def __init__(
        self, call: protocols.RunningCall, candidate: probing.Candidate
    ) -> None:
        self.call = call
        self.gateway = call.gateway
        self.loop = call.loop
        self.candidate = candidate
        self.entry = candidate.entry
        self.started_at = self.loop.time()
        self.sent = False
        self.sent_at = 0.0
        self.task = self.loop.create_task(self._run())

    async def cancel(self) -> None:
        """Gives up; closing the connection ends the server's work."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def finish(self) -> exchange.Outcome:
        """Returns the outcome after noting what it says of the server."""
        outcome = self.task.result()
        entry = self.entry
        now = self.loop.time()
        if isinstance(outcome, exchange.NotRun):
            self.call.progress.reason = outcome.kind.value
            if outcome.moved:
                self.gateway.store_view.remove_moved(entry.server)
            if outcome.kind is not ErrorKind.NO_SERVER:
                # One with a free slot that turns work away is at fault.
                entry.health.record_result(
                    not self.candidate.ready(math.inf), now
                )
            self._log(outcome.kind.value, "")
        elif isinstance(outcome, exchange.BrokenResponse):
            self.call.progress.reason = outcome.reason
            entry.health.record_result(False, now)
            self._log(outcome.kind.value, outcome.reason)
        else:
            entry.health.record_result(outcome.status < 500, now)
            self.gateway.prober.record_response_load(entry, outcome.headers)
            if outcome.status < 500:
                fingerprint = self.call.request.fingerprint
                self.gateway.crash_detector.watch.record_response(
                    fingerprint, now
                )
                took_s = now - self.started_at
                self.gateway.durations.record_duration(
                    self.call.route.name, took_s
                )
            if outcome.status in FAULT_STATUSES:
                instance = entry.server.instance
                self.gateway.store_view.local_failures.record_failure(
                    instance, now
                )
            if outcome.status >= 500:
                self._log("server_error", f"status {outcome.status}")
        return outcome

    async def _run(self) -> exchange.Outcome:
        server = self.entry.server
        home = self.gateway.pool_of(server)
        candidate = self.candidate
        if candidate.link is None:
            try:
                # A kept connection that nobody proved alive just now may lose
                # a request without a trace.
                fresh = not self.call.idempotent
                candidate.link = await home.acquire(fresh)
            except (OSError, pool.PoolFullError) as error:
                if isinstance(error, ConnectionRefusedError):
                    self.gateway.crash_detector.record_refused_connection(
                        server
                    )
                events.emit(
                    call_events.NoConnection(
                        self.call.request.request_id,
                        server.instance,
                        str(error) or type(error).__name__,
                    )
                )
                return exchange.NotRun(ErrorKind.CONNECT_FAILED)
        link = candidate.link
        if not self.entry.usable(self.loop.time()):
            # It left, or its zone was evacuated, while the connection opened.
            home.put_idle(link)
            return exchange.NotRun(ErrorKind.NO_SERVER)
        self._note_sending()
        self.entry.in_flight += 1
        outcome = None
        try:
            outcome = await exchange.run(
                link,
                self.call.outgoing,
                server.instance,
                self.call.deadline - self.loop.time(),
                self.gateway.adapter.wire,
                self.gateway.max_response_bytes,
                self._note_head,
            )
        finally:
            self.entry.in_flight -= 1
            if isinstance(outcome, exchange.CompleteResponse | exchange.NotRun):
                home.release(link)
            else:
                home.discard(link)
                self._note_no_answer(outcome)
        return outcome

    def _note_head(self, response: messages.Response) -> None:
        self.gateway.server_limits.record_response(
            self.entry.server, response.headers, self.sent_at
        )

    def _note_no_answer(self, outcome: exchange.BrokenResponse | None) -> None:
        """Notes that the server gave no answer; None if it was given up."""
        request = self.call.request
        one = crash_tracker.UnansweredRequest(
            request.fingerprint,
            request.request_id,
            self.sent_at,
            self.loop.time(),
        )
        lost = outcome is not None and outcome.kind is ErrorKind.CONNECTION_LOST
        self.gateway.crash_detector.record_no_response(
            self.entry.server, one, lost
        )

    def _note_sending(self) -> None:
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

    def _log(self, kind: str, reason: str) -> None:
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
