"""A caller's connection: reads requests and writes replies in order."""

import asyncio
import collections
import sys
from typing import Any

import h11

from banyantiller.errors import ErrorKind, Failure
from banyantiller.gateway import call as calls
from banyantiller.gateway import (
    call_events,
    events,
    pipeline,
    protocols,
    replies,
    requests,
)
from banyantiller.utils import framing

# Maximum number of pipelined requests on one connection.
MAX_PIPELINED = 16
# Size of received requests beyond these at which reading pauses.
MAX_READ_AHEAD_BYTES = 65536
# Maximum time from a request head to the end of its body, as for any response.
BODY_TIMEOUT_S = 30.0
# Maximum size of the request bodies in memory over all connections. Each is
# held once: with a body of the largest allowed size, 64 MB, the process fits
# into the 200 MB of a small VM.
MAX_BODY_BYTES = 80 << 20
# Retry-After for a body that did not fit into memory.
FULL_RETRY_AFTER_S = 0.5
# How long a caller may keep sending after its request was rejected: closing
# with unread bytes would reset the connection before it reads the reply.
LINGER_S = 1.0
# Disables h11's limit of incomplete events, which is fixed per codec. This
# module checks the size, as the limit may change while a connection is open.
CODEC_LIMIT_BYTES = sys.maxsize
NOT_IMPLEMENTED_HINT = 501


class CallerConnection(asyncio.Protocol):
    """Reads pipelined requests and writes their replies in order.

    Each exchange has its own h11 connection, since h11 reads no request before
    the reply to the previous one was sent.

    Attributes:
        pipeline: Requests without a written reply, in order.
        incoming: The request whose body is being read, or None.
        codec: Reads the next request.
        request_started: Whether bytes of the next request were received.
        waiting_since: Loop time from which the current timeout counts.
        reading_ended: Whether no further request is read.
        draining: Whether the connection is to be closed as soon as possible.
        lingers: Whether the caller may still be sending when the connection is
            closed: a request was rejected before its end was read, or further
            requests are not read.
        discarded: Bytes received after reading ended.
        step_due: Whether received data waits until other tasks have run.
    """

    def __init__(self, gateway: protocols.ConnectionContext) -> None:
        self.gateway = gateway
        self.loop = gateway.loop
        self.transport: Any = None
        self.pipeline: collections.deque[pipeline.PipelinedRequest] = (
            collections.deque()
        )
        self.incoming: pipeline.PipelinedRequest | None = None
        self.codec = self._new_codec()
        self.request_started = False
        self.waiting_since = self.loop.time()
        self.reading_ended = False
        self.closed = False
        self.draining = False
        self.lingers = False
        self.timer: asyncio.TimerHandle | None = None
        self.parsing = False
        self.step_due = False
        self.discarded = 0

    def connection_made(self, transport: Any) -> None:
        """Registers the connection and starts the idle timeout."""
        self.transport = transport
        self.gateway.connections.add(self)
        self._set_timer()

    def data_received(self, data: bytes) -> None:
        """Parses received data into requests."""
        if self.reading_ended:
            self._discard(data)
            return
        if not self.request_started:
            self.request_started = True
            self.waiting_since = self.loop.time()
            self._set_timer()
        if self.incoming is not None:
            self.incoming.meter.received += len(data)
        self.codec.receive_data(data)
        self._parse_requests()
        if self._is_buffer_full() and not self.closed:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Closes the connection: half-closed connections are not supported."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancels the calls, whose replies can't be delivered any more."""
        self.closed = True
        self.reading_ended = True
        self._stop_timer()
        for pending in self.pipeline:
            self.gateway.buffered_body_bytes -= pending.meter.content
            if pending.task is not None:
                pending.task.cancel()
        self.pipeline.clear()
        self.gateway.remove_connection(self)

    def pause_writing(self) -> None:
        """Stops reading requests while the caller reads slowly."""
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Reads requests again."""
        if not self.closed and not self.step_due:
            self.transport.resume_reading()

    # Called by the gateway.

    def drain(self) -> None:
        """Closes the connection, or makes its last reply close it.

        A caller that always has a further request on the connection would
        otherwise keep it open until the process ends and cuts its calls.
        """
        self.draining = True
        if any(pending.started for pending in self.pipeline):
            self._stop_reading()
        elif not self.pipeline and not self.request_started:
            self._close()

    def run_waiting_calls(self) -> None:
        """Starts the calls that the document in force allows to run now."""
        for pending in tuple(self.pipeline):
            self._start_call(pending)

    def _discard(self, data: bytes) -> None:
        """Discards what the caller sends although no request is read."""
        self.lingers = True
        self.discarded += len(data)
        if self.discarded > framing.MAX_DISCARDED_BYTES and not self.closed:
            self.transport.pause_reading()

    def _new_codec(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=CODEC_LIMIT_BYTES
        )

    def _stop_reading(self) -> None:
        """Ends reading and drops the requests behind the last started call.

        Callers take requests behind a reply that closes the connection for
        unread, and send them again.
        """
        self.reading_ended = True
        self.lingers = self.lingers or self.request_started
        # No timeout applies to a request that is not read any more.
        self.request_started = False
        self.incoming = None
        while self.pipeline and not self.pipeline[-1].started:
            dropped = self.pipeline.pop()
            self.gateway.buffered_body_bytes -= dropped.meter.content
            self.lingers = True

    def _parse_requests(self) -> None:
        if self.parsing:
            return
        self.parsing = True
        parts = 0
        try:
            while not self.reading_ended and len(self.pipeline) < MAX_PIPELINED:
                if parts == framing.PARTS_PER_STEP:
                    self._check_framing()
                    self._parse_later()
                    break
                parts += 1
                event = self.codec.next_event()
                if not self._handle_event(event):
                    break
        except h11.RemoteProtocolError as error:
            self._reject(_parse_failure(error))
        except requests.AmbiguousLengthError:
            self._reject(Failure(ErrorKind.AMBIGUOUS_LENGTH))
        finally:
            self.parsing = False
        self._write_due_replies()

    def _handle_event(self, event: Any) -> bool:
        """Handles one event; returns whether more may follow."""
        event_type = type(event)
        if event_type is h11.Request:
            self._handle_head(event)
        elif event_type is h11.Data:
            self._handle_body_data(event.data)
        elif event_type is h11.EndOfMessage:
            self._handle_end()
        elif event_type is h11.ConnectionClosed:
            self.reading_ended = True
            return False
        else:
            if event is h11.NEED_DATA:
                self._check_incomplete_size()
                self._check_framing()
            return False
        return True

    def _check_incomplete_size(self) -> None:
        """Rejects an incomplete head that exceeds the limit.

        Also covers the incomplete header of a chunk, which h11 keeps in the
        same buffer.
        """
        view = self.gateway.store_view
        incomplete = self.codec.trailing_data[0]
        if len(incomplete) > view.caller_limits.head_bytes:
            self._reject(view.refusal_of(ErrorKind.HEAD_TOO_LARGE))

    def _check_framing(self) -> None:
        if self.incoming is not None and self.incoming.meter.is_excessive():
            reason = "a body has too much framing"
            self._reject(Failure(ErrorKind.MALFORMED_REQUEST, reason))

    def _handle_head(self, event: h11.Request) -> None:
        pending = pipeline.PipelinedRequest(self.codec)
        self.incoming = pending
        self.pipeline.append(pending)
        now = self.loop.time()
        pending.request = requests.parse(event, self.gateway.adapter.wire, now)
        pending.fingerprint = requests.start_fingerprint(pending.request)
        self.waiting_since = now
        self._set_timer()
        if self.codec.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self.codec.send(interim))

    def _handle_body_data(self, data: bytes) -> None:
        pending = self.incoming
        pending.meter.content += len(data)
        self.gateway.buffered_body_bytes += len(data)
        view = self.gateway.store_view
        if pending.meter.content > view.caller_limits.body_bytes:
            self._reject(view.refusal_of(ErrorKind.BODY_TOO_LARGE))
        elif self.gateway.buffered_body_bytes > MAX_BODY_BYTES:
            self._reject(
                Failure(ErrorKind.QUEUE_FULL, retry_after=FULL_RETRY_AFTER_S)
            )
        else:
            pending.body += data
            pending.fingerprint.update(data)

    def _handle_end(self) -> None:
        """Starts the call of a request that was read completely."""
        pending = self.incoming
        self.incoming = None
        pending.request = pending.request._replace(
            body=pending.body,
            received=self.loop.time(),
            fingerprint=pending.fingerprint.hexdigest(),
        )
        # Not copied, as it may be a large part of the memory.
        pending.body = bytearray()
        pending.call = calls.Call(self.gateway, pending.request)
        remaining_data = self.codec.trailing_data[0]
        if self.codec.their_state is h11.DONE:
            self.codec = self._new_codec()
            self.request_started = bool(remaining_data)
            if remaining_data:
                self.codec.receive_data(remaining_data)
        else:
            # The caller closes the connection after this request.
            self.reading_ended = True
            self.request_started = False
        self.waiting_since = self.loop.time()
        self._set_timer()
        self._start_call(pending)

    def _start_call(self, pending: pipeline.PipelinedRequest) -> None:
        """Starts a call unless it has to wait for those before it.

        A request that is not idempotent waits: an earlier reply may close the
        connection, after which the caller takes the request for unread and
        sends it again.
        """
        if pending.task is not None or pending.call is None:
            return
        pending.call.look_up_route()
        if pending is self.pipeline[0] or pending.call.idempotent:
            pending.task = self.loop.create_task(self._run_call(pending))

    async def _run_call(self, pending: pipeline.PipelinedRequest) -> None:
        pending.reply = await pending.call.run()
        self._write_due_replies()

    def _reject(self, failure: Failure) -> None:
        """Replies with an error and closes the connection after it."""
        pending = self.incoming
        if pending is None:
            pending = pipeline.PipelinedRequest(self.codec)
            self.pipeline.append(pending)
        self.incoming = None
        self.reading_ended = True
        self.lingers = True
        pending.body.clear()
        pending.reply = replies.from_failure(
            failure, failure.response.ran, self.gateway.settings.daemon
        )
        request_id = pending.request.request_id if pending.request else ""
        events.emit(call_events.RequestRejected(request_id, failure.error_kind))

    def _write_due_replies(self) -> None:
        """Writes the replies that are ready, in the order of requests."""
        before = len(self.pipeline)
        while self.pipeline and self.pipeline[0].reply is not None:
            if self.closed:
                return
            pending = self.pipeline.popleft()
            self.gateway.buffered_body_bytes -= pending.meter.content
            if not self._write_reply(pending):
                return
        if self.pipeline:
            self._start_call(self.pipeline[0])
        elif not self.closed:
            self.waiting_since = self.loop.time()
            self._set_timer()
        idle = not self.reading_ended and not self.parsing and not self.closed
        if idle and len(self.pipeline) < before:
            self.loop.call_soon(self._resume_parsing)

    def _parse_later(self) -> None:
        """Lets other tasks run before the rest of the data is parsed."""
        if self.step_due or self.reading_ended:
            return
        self.step_due = True
        self.transport.pause_reading()
        self.loop.call_soon(self._resume_parsing)

    def _resume_parsing(self) -> None:
        # Data may be buffered since the pipeline was full or a step ended.
        if self.closed:
            return
        self.step_due = False
        if not self.reading_ended and self.codec.trailing_data[0]:
            self._parse_requests()
        if not self.step_due and not self._is_buffer_full():
            self.transport.resume_reading()

    def _is_buffer_full(self) -> bool:
        """Returns whether reading has to wait for replies.

        Requests beyond a full pipeline are buffered up to a size, so that a
        caller that disconnects is noticed and its calls are cancelled.
        """
        if len(self.pipeline) < MAX_PIPELINED:
            return False
        return len(self.codec.trailing_data[0]) > MAX_READ_AHEAD_BYTES

    def _write_reply(self, pending: pipeline.PipelinedRequest) -> bool:
        """Writes a reply; returns whether the connection stays open."""
        if self.gateway.draining and self._may_stop_reading():
            self._stop_reading()
        closing = not self.pipeline and self.reading_ended
        self.transport.write(pending.encode_reply(closing))
        if closing or pending.codec.our_state is not h11.DONE:
            self._close()
            return False
        return True

    def _may_stop_reading(self) -> bool:
        """Returns whether no further request should be read.

        While the daemon still accepts connections, a request of which a part
        was received, and which no other call is ahead of, is served as well.
        """
        started = any(one.started for one in self.pipeline)
        return self.draining or started or not self.request_started

    def _close(self) -> None:
        self.reading_ended = True
        self._stop_timer()
        if self.closed:
            return
        if self.lingers and self.transport.can_write_eof():
            self._linger()
        else:
            self.transport.close()

    def _linger(self) -> None:
        """Ends the output and closes later: unread bytes would reset it."""
        self.transport.resume_reading()
        try:
            self.transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            self.transport.abort()
            return
        self.timer = self.loop.call_later(LINGER_S, self.transport.abort)

    def _set_timer(self) -> None:
        self._stop_timer()
        if not self.closed:
            due = self.waiting_since + self._timeout_s()
            self.timer = self.loop.call_at(due, self._on_timeout)

    def _timeout_s(self) -> float:
        if self.incoming is not None:
            return BODY_TIMEOUT_S
        if self.request_started:
            return self.gateway.store_view.caller_limits.head_timeout_s
        return self.gateway.store_view.caller_limits.idle_timeout_s

    def _on_timeout(self) -> None:
        self.timer = None
        if self.loop.time() < self.waiting_since + self._timeout_s():
            # The timeout was raised in the meantime.
            self._set_timer()
        elif self.incoming is not None:
            self._reject(Failure(ErrorKind.BODY_TIMEOUT))
            self._write_due_replies()
        elif self.request_started:
            self._reject(Failure(ErrorKind.HEAD_TIMEOUT))
            self._write_due_replies()
        elif not self.pipeline:
            self._close()

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def _parse_failure(error: h11.RemoteProtocolError) -> Failure:
    if error.error_status_hint == NOT_IMPLEMENTED_HINT:
        return Failure(ErrorKind.METHOD_UNSUPPORTED, str(error))
    return Failure(ErrorKind.MALFORMED_REQUEST, str(error))
