"""A call, from the request head to the end of the response."""

from typing import TYPE_CHECKING

import h11

from banyantiller.bundle import options
from banyantiller.errors import ErrorKind, Failure, Ran
from banyantiller.kernel.events import CallFinished
from banyantiller.proxy import body as bodies
from banyantiller.proxy import guard, headers, responses
from banyantiller.quarantine import fingerprint

if TYPE_CHECKING:
    from banyantiller.proxy import attempt as attempts
    from banyantiller.proxy import caller as callers
    from banyantiller.proxy import driver as drivers
    from banyantiller.proxy import keyed_calls
    from banyantiller.proxy import proxy as proxies

CONTINUE = 100


class Call:
    """The state of a call, shared by caller, driver and attempts.

    Attributes:
        service: Options in force when the call began, or None.
        path: Path of the request target.
        target: Target as sent to backend servers.
        fingerprint: Digest of the request as far as it was read, or None.
        awaits_body: Whether a server is selected only after the body arrived.
        host: Host as the caller sent it; claims use it in lower case and
            without a port.
        deadline: Loop time at which the caller stops waiting.
        idempotent: Whether the bundle allows the request to run twice.
        sent_attempts: Number of ended attempts that wrote at least one byte.
        running_attempts: Attempts that have not ended.
        relayed_attempt: The attempt whose response is relayed.
        last_attempt: The attempt that was sent last.
        may_have_run: Whether an ended attempt may have run the request.
        shed_attempts: Number of attempts that a server rejected as not run.
        reported_ran: Value of `Request-Ran` in a failure response, or None.
        status: Status sent to the caller, or 0.
        is_finished: Whether `CallFinished` was emitted.
    """

    def __init__(
        self,
        proxy: "proxies.Proxy",
        caller: "callers.CallerConnection",
        request: h11.Request,
        head: headers.RequestHead,
    ) -> None:
        self.proxy = proxy
        self.caller = caller
        self.request = request
        self.head = head
        self.started_at = caller.head_started_at
        self.request_id = head.request_id or proxy.new_request_id()
        self.body = bodies.RequestBody(proxy.settings.callers.replay_bytes)
        self.fingerprint: fingerprint.Fingerprint | None = None
        self.awaits_body = False
        self.call_id = 0
        self.service: options.Service | None = None
        self.driver: drivers.ServiceDriver | None = None
        self.version = proxy.version
        self.path = ""
        self.target = b""
        self.host = ""
        self.deadline = 0.0
        self.idempotent = False
        self.key = ""
        self.claim: keyed_calls.KeyedCall | None = None
        self.fields: list[headers.Field] = []
        self.sent_attempts = 0
        self.running_attempts: list[attempts.Attempt] = []
        self.relayed_attempt: attempts.Attempt | None = None
        self.last_attempt: attempts.Attempt | None = None
        self.may_have_run = False
        self.shed_attempts = 0
        self.reported_ran: Ran | None = None
        self.status = 0
        self.continued = False
        self.is_finished = False

    # Called by the caller's connection.

    def body_data(self, data: bytes) -> None:
        """Handles a part of the request body."""
        streaming = [item for item in self.running_attempts if item.streaming]
        body = self.body
        body.add_data(data, bool(streaming))
        if self.fingerprint is not None:
            self.fingerprint.update(data)
        if body.size > self.proxy.settings.callers.max_body_bytes:
            self.fail(Failure(ErrorKind.BODY_TOO_LARGE))
            return
        for attempt in streaming:
            attempt.connection.send_data(data)
        if body.is_over_limit():
            self._on_body_ready()
            self.update_body_reading()

    def body_end(self, event: h11.EndOfMessage) -> None:
        """Handles the end of the request body."""
        end = headers.forward_end(event)
        self.body.set_end(end)
        for attempt in self.running_attempts:
            if attempt.streaming:
                attempt.connection.send_end(end)
        self._on_body_ready()

    def flush(self) -> None:
        """Flushes the connections of the attempts."""
        for attempt in self.running_attempts:
            if attempt.streaming:
                attempt.connection.flush()

    def fail(self, failure: Failure) -> None:
        """Ends the call because of the caller; cancels the server's work."""
        if self.is_finished:
            return
        self._cancel_attempts()
        if self.status:
            self.caller.reset()
            self._finish(failure.error_kind, cut=True)
        else:
            self.refuse(failure)

    def disconnected(self) -> None:
        """Ends the call because the caller disconnected."""
        if self.is_finished:
            return
        guard.run(self._cancel_attempts)
        self._finish(ErrorKind.CALLER_GONE, cut=False)

    def fail_internally(self) -> None:
        """Ends the call after an internal error, even if further steps fail."""
        if not self.is_finished and guard.run(
            self.fail, Failure(ErrorKind.INTERNAL)
        ):
            return
        guard.run(self.caller.reset)
        if not self.is_finished:
            self._finish(ErrorKind.INTERNAL, cut=self.status != 0)

    def set_caller_writable(self, writable: bool) -> None:
        """Resumes or pauses reading the response."""
        if self.relayed_attempt is None or not self.relayed_attempt.streaming:
            return
        if writable:
            self.relayed_attempt.connection.resume_reading()
        else:
            self.relayed_attempt.connection.pause_reading()

    # Called by the driver and the attempts.

    def build_backend_request(self) -> h11.Request:
        """Returns the request head for a new attempt."""
        remaining = self.deadline - self.proxy.loop.time()
        remaining_ms = max(1, int(remaining * 1000))
        deadline = (
            headers.DEADLINE_HEADER,
            headers.DEADLINE_HEADER,
            b"%d" % remaining_ms,
        )
        fields = [*self.fields, deadline]
        if self.caller.http.they_are_waiting_for_100_continue:
            fields.append(headers.EXPECT_CONTINUE)
        return h11.Request(
            method=self.request.method,
            target=self.target,
            headers=headers.ValidatedHeaders(fields),
        )

    def send_buffered_body(self, attempt: "attempts.Attempt") -> None:
        """Sends the body received so far on a new connection."""
        connection = attempt.connection
        body = self.body
        for part in body.chunks:
            connection.send_data(part)
        if body.complete:
            connection.send_end(body.end_event)
        body.discard_if_over_limit()
        if not self.caller.processing:
            connection.flush()
        if connection.write_paused or self.caller.body_paused:
            self.update_body_reading()

    def update_body_reading(self) -> None:
        """Pauses reading the request body while it cannot be forwarded."""
        streaming = [item for item in self.running_attempts if item.streaming]
        stalled = any(item.connection.write_paused for item in streaming)
        self.caller.pause_body(
            stalled or (not streaming and self.body.is_over_limit())
        )

    def relay_informational(self, event: h11.InformationalResponse) -> None:
        """Relays an informational response if only one attempt is running."""
        if self.status or self.request.http_version < b"1.1":
            return
        if event.status_code == CONTINUE:
            self.send_continue()
        elif len(self.running_attempts) == 1:
            fields = [
                item
                for item in headers.raw_fields(event.headers)
                if item[1] not in headers.HOP_BY_HOP
            ]
            self.caller.send_informational(event.status_code, fields)

    def send_continue(self) -> None:
        """Sends 100 Continue if the caller waits for it."""
        if self.caller.http.they_are_waiting_for_100_continue:
            self.caller.send_informational(CONTINUE, [])

    def relay_head(self, attempt: "attempts.Attempt") -> None:
        """Starts to relay a response."""
        self.relayed_attempt = attempt
        response = attempt.response
        self.status = response.status_code
        fields = headers.response_fields(
            attempt.fields, self.proxy.via, self.request_id
        )
        if self.claim is not None:
            self.claim.record_head(self.status, fields)
        self.caller.send_head(
            self.status, response.reason, fields, not self.body.complete
        )
        if self.caller.write_paused:
            attempt.connection.pause_reading()

    def relay_data(self, data: bytes) -> None:
        """Relays a part of the response body."""
        if self.claim is not None:
            self.claim.record_data(data)
        self.caller.send_data(data)

    def relay_end(self, event: h11.EndOfMessage) -> None:
        """Relays the end of the response and ends the call."""
        self.sent_attempts += 1
        if self.claim is not None:
            self.claim.record_end()
        self.caller.send_end(headers.forward_end(event))
        self._finish(None, cut=False)
        self.caller.response_done()

    def relay_failed(self, error_kind: ErrorKind) -> None:
        """Resets the caller's connection, as the response is incomplete."""
        if self.is_finished:
            return
        self.sent_attempts += 1
        self.caller.reset()
        self._finish(error_kind, cut=True)

    def refuse(self, failure: Failure) -> None:
        """Responds with a failure and ends the call."""
        if self.is_finished:
            return
        ran = failure.response.ran
        if ran is Ran.NO and self.may_have_run:
            ran = Ran.UNKNOWN
        self.reported_ran = ran
        response = responses.from_failure(
            failure, ran, self.proxy.settings.daemon, self.request_id
        )
        self.respond(response, failure.error_kind)

    def respond(
        self, response: responses.LocalResponse, error: ErrorKind | None
    ) -> None:
        """Sends a locally generated response and ends the call."""
        self.status = response.status
        self.caller.send_local_response(response, not self.body.complete)
        self._finish(error, cut=False)
        self.caller.response_done()

    # Internal.

    def _on_body_ready(self) -> None:
        if self.is_finished or not (self.awaits_body or self.claim is not None):
            return
        awaited_body, self.awaits_body = self.awaits_body, False
        wait_s = self.proxy.crash_detector.quarantine_left_s(self)
        if wait_s is not None and not self.running_attempts:
            # Otherwise the request would crash a server at one daemon after
            # another.
            self.refuse(Failure(ErrorKind.QUARANTINED, "", wait_s))
        elif awaited_body:
            self.driver.submit(self)
        else:
            self.claim.start_claim()

    def _cancel_attempts(self) -> None:
        if self.driver is not None:
            self.driver.cancel_call(self)

    def _finish(self, error: ErrorKind | None, cut: bool) -> None:
        self.is_finished = True
        if self.driver is not None:
            self.driver.calls.pop(self.call_id, None)
        if self.claim is not None:
            guard.run(self.claim.settle, self.may_have_run)
        guard.run(self.proxy.call_finished, self._finished_event(error, cut))
        # Without reference cycles, the call is freed immediately.
        self.relayed_attempt = None
        self.last_attempt = None

    def _finished_event(
        self, error: ErrorKind | None, cut: bool
    ) -> CallFinished:
        sent_after_s = 0.0
        attempt = self.relayed_attempt or self.last_attempt
        if attempt is not None:
            sent_after_s = attempt.started_at - self.started_at
        return CallFinished(
            request_id=self.request_id.decode("latin-1"),
            service=self.service.name if self.service is not None else "",
            idempotent=self.idempotent,
            key=self.key,
            server=attempt.server if attempt is not None else "",
            status=self.status,
            error=error,
            attempts=self.sent_attempts,
            cut=cut,
            duration_s=self.proxy.loop.time() - self.started_at,
            bundle=self.version,
            shed=self.shed_attempts,
            sent_after_s=sent_after_s,
            told=self.reported_ran,
        )
