"""One call: from the request head to the end of its answer."""

from typing import TYPE_CHECKING

import h11

from banyantiller.bundle import options
from banyantiller.errors import ErrorKind, Failure, Ran
from banyantiller.kernel.events import CallFinished
from banyantiller.proxy import answers, guard, headers
from banyantiller.proxy import body as bodies
from banyantiller.quarantine import fingerprint

if TYPE_CHECKING:
    from banyantiller.proxy import attempt as attempts
    from banyantiller.proxy import caller as callers
    from banyantiller.proxy import driver as drivers
    from banyantiller.proxy import keys
    from banyantiller.proxy import proxy as proxies

CONTINUE = 100


class Call:
    """Holds a call's state; caller, driver and tries act through it.

    Attributes:
        service: Options that were in force when the call came, or None.
        path: Path of the request target.
        target: Target as sent to backend servers.
        fingerprint: Digest of the request as far as it was read, or None.
        held: Whether it waits for its body before a server is chosen.
        host: Host as the caller sent it; claims have it without a port and in
            lower case.
        deadline: Loop time at which the caller stops waiting.
        idempotent: Whether the bundle states it may run twice.
        tries: Ended tries that wrote at least one byte.
        running: Tries that have not ended.
        relaying: The try whose answer is relayed.
        last: The try that was sent last.
        maybe_ran: Whether an ended try may have run the request.
        shed: Tries that their server refused as not run.
        told: What a refusal told the caller of whether the request was run.
        status: Status sent to the caller, 0 before.
        over: Whether `CallFinished` was emitted.
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
        self.began = caller.head_began
        self.request_id = head.request_id or proxy.new_request_id()
        self.body = bodies.RequestBody(proxy.settings.callers.replay_bytes)
        self.fingerprint: fingerprint.Fingerprint | None = None
        self.held = False
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
        self.claim: keys.KeyedCall | None = None
        self.fields: list[headers.Field] = []
        self.tries = 0
        self.running: list[attempts.Attempt] = []
        self.relaying: attempts.Attempt | None = None
        self.last: attempts.Attempt | None = None
        self.maybe_ran = False
        self.shed = 0
        self.told: Ran | None = None
        self.status = 0
        self.continued = False
        self.over = False

    # Called by the caller's connection.

    def body_data(self, data: bytes) -> None:
        """Takes a part of the request body."""
        streaming = [item for item in self.running if item.streaming]
        body = self.body
        body.add(data, bool(streaming))
        if self.fingerprint is not None:
            self.fingerprint.update(data)
        if body.size > self.proxy.settings.callers.max_body_bytes:
            self.fail(Failure(ErrorKind.BODY_TOO_LARGE))
            return
        for attempt in streaming:
            attempt.connection.send_data(data)
        if body.full():
            self._body_ready()
            self.regulate()

    def body_end(self, event: h11.EndOfMessage) -> None:
        """Takes the end of the request body."""
        end = headers.forward_end(event)
        self.body.end(end)
        for attempt in self.running:
            if attempt.streaming:
                attempt.connection.send_end(end)
        self._body_ready()

    def flush(self) -> None:
        """Writes what was added to the connections of the tries."""
        for attempt in self.running:
            if attempt.streaming:
                attempt.connection.flush()

    def fail(self, failure: Failure) -> None:
        """Ends the call because of the caller; cancels the server's work."""
        if self.over:
            return
        self._stop_tries()
        if self.status:
            self.caller.cut()
            self._finish(failure.kind, cut=True)
        else:
            self.refuse(failure)

    def caller_gone(self) -> None:
        """Ends the call because nobody waits for its answer."""
        if self.over:
            return
        guard.run(self._stop_tries)
        self._finish(ErrorKind.CALLER_GONE, cut=False)

    def crash(self) -> None:
        """Ends the call after a fault of our own, whatever else fails."""
        if not self.over and guard.run(self.fail, Failure(ErrorKind.INTERNAL)):
            return
        guard.run(self.caller.cut)
        if not self.over:
            self._finish(ErrorKind.INTERNAL, cut=self.status != 0)

    def caller_writable(self, now: bool) -> None:
        """Stops or starts reading the answer."""
        if self.relaying is None or not self.relaying.streaming:
            return
        if now:
            self.relaying.connection.resume_reading()
        else:
            self.relaying.connection.pause_reading()

    # Called by the driver and the tries.

    def backend_request(self) -> h11.Request:
        """Returns the request head for a new try."""
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
            headers=headers.Checked(fields),
        )

    def send_kept_body(self, attempt: "attempts.Attempt") -> None:
        """Sends what was received of the body on a new connection."""
        connection = attempt.connection
        body = self.body
        for part in body.parts:
            connection.send_data(part)
        if body.complete:
            connection.send_end(body.end_event)
        body.let_go()
        if not self.caller.pumping:
            connection.flush()
        if connection.paused or self.caller.body_held:
            self.regulate()

    def regulate(self) -> None:
        """Reads the request body only as fast as it can be passed on."""
        streaming = [item for item in self.running if item.streaming]
        stalled = any(item.connection.paused for item in streaming)
        self.caller.hold_reading(
            stalled or (not streaming and self.body.full())
        )

    def informational(self, event: h11.InformationalResponse) -> None:
        """Relays an informational answer if it can only be for this call."""
        if self.status or self.request.http_version < b"1.1":
            return
        if event.status_code == CONTINUE:
            self.send_continue()
        elif len(self.running) == 1:
            fields = [
                item
                for item in headers.received(event.headers)
                if item[1] not in headers.HOP_BY_HOP
            ]
            self.caller.send_informational(event.status_code, fields)

    def send_continue(self) -> None:
        """Asks the caller for the body if it waits to be asked."""
        if self.caller.http.they_are_waiting_for_100_continue:
            self.caller.send_informational(CONTINUE, [])

    def relay_head(self, attempt: "attempts.Attempt") -> None:
        """Starts to relay an answer."""
        self.relaying = attempt
        response = attempt.response
        self.status = response.status_code
        fields = headers.forward_answer(
            attempt.fields, self.proxy.via, self.request_id
        )
        if self.claim is not None:
            self.claim.answer_head(self.status, fields)
        self.caller.send_head(
            self.status, response.reason, fields, not self.body.complete
        )
        if self.caller.paused:
            attempt.connection.pause_reading()

    def relay_data(self, data: bytes) -> None:
        """Relays a part of the answer body."""
        if self.claim is not None:
            self.claim.answer_data(data)
        self.caller.send_data(data)

    def relay_end(self, event: h11.EndOfMessage) -> None:
        """Ends the answer and the call."""
        self.tries += 1
        if self.claim is not None:
            self.claim.answer_end()
        self.caller.send_end(headers.forward_end(event))
        self._finish(None, cut=False)
        self.caller.answer_done()

    def broke(self, kind: ErrorKind) -> None:
        """Cuts the caller's connection: the answer can't be completed."""
        if self.over:
            return
        self.tries += 1
        self.caller.cut()
        self._finish(kind, cut=True)

    def refuse(self, failure: Failure) -> None:
        """Answers with a failure and ends the call."""
        if self.over:
            return
        ran = failure.answer.ran
        if ran is Ran.NO and self.maybe_ran:
            ran = Ran.UNKNOWN
        self.told = ran
        answer = answers.from_failure(
            failure, ran, self.proxy.settings.daemon, self.request_id
        )
        self.answer(answer, failure.kind)

    def answer(
        self, answer: answers.OwnAnswer, error: ErrorKind | None
    ) -> None:
        """Answers with what no backend server gave and ends the call."""
        self.status = answer.status
        self.caller.send_own(answer, not self.body.complete)
        self._finish(error, cut=False)
        self.caller.answer_done()

    # Within.

    def _body_ready(self) -> None:
        if self.over or not (self.held or self.claim is not None):
            return
        held, self.held = self.held, False
        wait_s = self.proxy.endings.wait_s(self)
        if wait_s is not None and not self.running:
            # Else each daemon ends a server with it, and the next one another.
            self.refuse(Failure(ErrorKind.QUARANTINED, "", wait_s))
        elif held:
            self.driver.submit(self)
        else:
            self.claim.body_ready()

    def _stop_tries(self) -> None:
        if self.driver is not None:
            self.driver.forget(self)

    def _finish(self, error: ErrorKind | None, cut: bool) -> None:
        self.over = True
        if self.driver is not None:
            self.driver.calls.pop(self.call_id, None)
        if self.claim is not None:
            guard.run(self.claim.settle, self.maybe_ran)
        guard.run(self.proxy.finished, self._event(error, cut))
        # Without cycles the call is freed as soon as nobody needs it.
        self.relaying = None
        self.last = None

    def _event(self, error: ErrorKind | None, cut: bool) -> CallFinished:
        sent_after_s = 0.0
        tried = self.relaying or self.last
        if tried is not None:
            sent_after_s = tried.began - self.began
        return CallFinished(
            request_id=self.request_id.decode("latin-1"),
            service=self.service.name if self.service is not None else "",
            idempotent=self.idempotent,
            key=self.key,
            server=tried.server if tried is not None else "",
            status=self.status,
            error=error,
            attempts=self.tries,
            cut=cut,
            duration_s=self.proxy.loop.time() - self.began,
            bundle=self.version,
            shed=self.shed,
            sent_after_s=sent_after_s,
            told=self.told,
        )
