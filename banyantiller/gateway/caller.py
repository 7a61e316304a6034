"""One connection from a caller: requests in, answers out in order."""

import asyncio
import collections
import sys
from typing import Any

import h11

from banyantiller.errors import ErrorKind, Failure
from banyantiller.gateway import call as calls
from banyantiller.gateway import call_events, events, protocols, replies
from banyantiller.gateway import requests as reading
from banyantiller.quarantine import fingerprint

# Requests that are read ahead of their answers on one connection.
MAX_AHEAD = 16
# Longest time for a request body after its head, as for any answer.
BODY_TIMEOUT_S = 30.0
# Request bodies in memory over all connections: a body of the largest size
# allowed, 64 MB, and its copy in the socket's buffer fit into the 200 MB of the
# smallest VM.
MAX_BODY_BYTES = 80 << 20
# When a caller may come back with a body for which there was no room.
FULL_S = 0.5
# How long a caller may go on sending after its request was rejected: closing
# with bytes unread would reset the connection before it reads the answer.
LINGER_S = 1.0
# In bytes. h11's own limit is fixed when a codec is made, but the limit in
# force may change while a connection is open: this module checks instead.
NO_CODEC_BOUND_BYTES = sys.maxsize
NOT_IMPLEMENTED_HINT = 501


class Slot:
    """One request on a connection and the place of its answer.

    Attributes:
        codec: h11's side of this one exchange.
        request: The head, or None where it could not be read.
        body: Parts of the body so far.
        size: Bytes in `body`.
        fingerprint: Digest of the request as far as it was read, or None.
        call: The call, once the request is whole.
        task: Runs the call.
        reply: The answer, once there is one.
    """

    def __init__(self, codec: h11.Connection) -> None:
        self.codec = codec
        self.request: reading.Request | None = None
        self.body: list[bytes] = []
        self.size = 0
        self.fingerprint: fingerprint.Fingerprint | None = None
        self.call: calls.Call | None = None
        self.task: asyncio.Task[None] | None = None
        self.reply: replies.Reply | None = None


class CallerConnection(asyncio.Protocol):
    """Reads requests, also ahead, and writes their answers in order.

    Each exchange has an h11 connection of its own, since h11 reads no request
    before the answer to the one before it was sent.

    Attributes:
        slots: Requests without a written answer, in their order.
        reading: The slot whose request is being read, or None.
        codec: Reads the next request.
        since: Loop time since which the present head or idleness lasts.
        ended: Whether no further request is read.
        rejected: Whether a request was answered before it was read whole.
    """

    def __init__(self, gateway: protocols.ConnectionContext) -> None:
        self.gateway = gateway
        self.loop = gateway.loop
        self.transport: Any = None
        self.slots: collections.deque[Slot] = collections.deque()
        self.reading: Slot | None = None
        self.codec = self._new_codec()
        self.begun = False
        self.since = self.loop.time()
        self.ended = False
        self.gone = False
        self.rejected = False
        self.timer: asyncio.TimerHandle | None = None
        self.parsing = False

    # Called by the transport.

    def connection_made(self, transport: Any) -> None:
        """Keeps the transport."""
        self.transport = transport
        self.gateway.connections.add(self)
        self._set_timer()

    def data_received(self, data: bytes) -> None:
        """Reads requests."""
        if self.ended:
            return
        if not self.begun:
            self.begun = True
            self.since = self.loop.time()
            self._set_timer()
        self.codec.receive_data(data)
        self._read()
        if len(self.slots) >= MAX_AHEAD and not self.gone:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """The caller left; a half-closed connection counts as closed."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancels what nobody waits for."""
        self.gone = True
        self.ended = True
        self._stop_timer()
        for slot in self.slots:
            self.gateway.buffered_body_bytes -= slot.size
            if slot.task is not None:
                slot.task.cancel()
        self.slots.clear()
        self.gateway.remove_connection(self)

    def pause_writing(self) -> None:
        """The caller reads slowly: no further requests are read."""
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        """The caller caught up."""
        if not self.gone:
            self.transport.resume_reading()

    # Called by the gateway.

    def drain(self) -> None:
        """Closes the connection as soon as nothing is due on it."""
        if not self.slots and not self.begun:
            self._close()

    def run_waiting_calls(self) -> None:
        """Runs the calls that need not wait under the document in force."""
        for slot in tuple(self.slots):
            self._start(slot)

    # Within.

    def _new_codec(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=NO_CODEC_BOUND_BYTES
        )

    def _read(self) -> None:
        if self.parsing:
            return
        self.parsing = True
        try:
            while not self.ended and len(self.slots) < MAX_AHEAD:
                event = self.codec.next_event()
                if not self._take(event):
                    break
        except h11.RemoteProtocolError as error:
            self._reject(_failure(error))
        except reading.AmbiguousLengthError:
            self._reject(Failure(ErrorKind.AMBIGUOUS_LENGTH))
        finally:
            self.parsing = False
        self._flush()

    def _take(self, event: Any) -> bool:
        """Takes one event; False if there is nothing to read."""
        kind = type(event)
        if kind is h11.Request:
            self._head(event)
        elif kind is h11.Data:
            self._data(event.data)
        elif kind is h11.EndOfMessage:
            self._whole()
        elif kind is h11.ConnectionClosed:
            self.ended = True
            return False
        else:
            if event is h11.NEED_DATA:
                self._check_incomplete_size()
            return False
        return True

    def _check_incomplete_size(self) -> None:
        """Rejects a head that is too large before its end came.

        Also covers the incomplete head of a chunk, which h11 keeps in the same
        place.
        """
        known = self.gateway.store_view
        incomplete = self.codec.trailing_data[0]
        if len(incomplete) > known.caller_limits.head_bytes:
            self._reject(known.refusal_of(ErrorKind.HEAD_TOO_LARGE))

    def _head(self, event: h11.Request) -> None:
        slot = Slot(self.codec)
        self.reading = slot
        self.slots.append(slot)
        now = self.loop.time()
        slot.request = reading.read(event, self.gateway.adapter.wire, now)
        slot.fingerprint = reading.fingerprint_of(
            slot.request, self.gateway.adapter.wire
        )
        self.since = now
        self._set_timer()
        if self.codec.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self.codec.send(go_on))

    def _data(self, data: bytes) -> None:
        slot = self.reading
        slot.size += len(data)
        self.gateway.buffered_body_bytes += len(data)
        known = self.gateway.store_view
        if slot.size > known.caller_limits.body_bytes:
            self._reject(known.refusal_of(ErrorKind.BODY_TOO_LARGE))
        elif self.gateway.buffered_body_bytes > MAX_BODY_BYTES:
            self._reject(Failure(ErrorKind.QUEUE_FULL, retry_after=FULL_S))
        else:
            slot.body.append(bytes(data))
            slot.fingerprint.update(data)

    def _whole(self) -> None:
        """Starts the call of a request that was read whole."""
        slot = self.reading
        self.reading = None
        slot.request = slot.request._replace(
            body=b"".join(slot.body),
            received=self.loop.time(),
            fingerprint=slot.fingerprint.hexdigest(),
        )
        slot.body.clear()
        slot.call = calls.Call(self.gateway, slot.request)
        rest = self.codec.trailing_data[0]
        if self.codec.their_state is h11.DONE:
            self.codec = self._new_codec()
            self.begun = bool(rest)
            if rest:
                self.codec.receive_data(rest)
        else:
            # The caller said that this is its last request.
            self.ended = True
            self.begun = False
        self.since = self.loop.time()
        self._set_timer()
        self._start(slot)

    def _start(self, slot: Slot) -> None:
        """Runs a call; one that must not be repeated waits for its turn.

        An answer before it may close the connection, after which the caller
        takes the request for unread and sends it again.
        """
        if slot.task is not None or slot.call is None:
            return
        slot.call.look_up_route()
        if slot is self.slots[0] or slot.call.idempotent:
            slot.task = self.loop.create_task(self._run(slot))

    async def _run(self, slot: Slot) -> None:
        slot.reply = await slot.call.run()
        self._flush()

    def _reject(self, failure: Failure) -> None:
        """Answers a request that can't be read, and closes after it."""
        slot = self.reading
        if slot is None:
            slot = Slot(self.codec)
            self.slots.append(slot)
        self.reading = None
        self.ended = True
        self.rejected = True
        slot.body.clear()
        slot.reply = replies.from_failure(
            failure, failure.response.ran, self.gateway.settings.daemon
        )
        request_id = slot.request.request_id if slot.request else ""
        events.emit(call_events.RequestRejected(request_id, failure.error_kind))

    def _flush(self) -> None:
        """Writes the answers whose turn has come."""
        before = len(self.slots)
        while self.slots and self.slots[0].reply is not None:
            if self.gone:
                return
            slot = self.slots.popleft()
            self.gateway.buffered_body_bytes -= slot.size
            if not self._write(slot):
                return
        if self.slots:
            self._start(self.slots[0])
        elif not self.gone:
            self.since = self.loop.time()
            self._set_timer()
        idle = not self.ended and not self.parsing and not self.gone
        if idle and len(self.slots) < before:
            self.loop.call_soon(self._read_on)

    def _read_on(self) -> None:
        # Requests may be left over from when too many were waiting.
        if self.ended or self.gone:
            return
        if self.codec.trailing_data[0]:
            self._read()
        if len(self.slots) < MAX_AHEAD:
            self.transport.resume_reading()

    def _write(self, slot: Slot) -> bool:
        """Writes one answer; False if the connection ends with it."""
        reply = slot.reply
        draining = self.gateway.draining and not self.begun
        closing = not self.slots and (self.ended or draining)
        headers = list(reply.headers)
        no_body = reply.status in (204, 304)
        if not no_body:
            length = len(reply.body) if reply.length is None else reply.length
            headers.append(("content-length", str(length)))
        if closing:
            headers.append(("connection", "close"))
        codec = slot.codec
        head = h11.Response(
            status_code=reply.status,
            headers=[
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in headers
            ],
        )
        data = codec.send(head)
        is_head = slot.request is not None and slot.request.method == "HEAD"
        if reply.body and not is_head and not no_body:
            data += codec.send(h11.Data(data=reply.body))
        data += codec.send(h11.EndOfMessage())
        self.transport.write(data)
        if closing or codec.our_state is not h11.DONE:
            self._close()
            return False
        return True

    def _close(self) -> None:
        self.ended = True
        self._stop_timer()
        if self.gone:
            return
        if self.rejected and self.transport.can_write_eof():
            self.transport.write_eof()
            self.timer = self.loop.call_later(LINGER_S, self.transport.abort)
        else:
            self.transport.close()

    def _set_timer(self) -> None:
        self._stop_timer()
        if not self.gone:
            due = self.since + self._patience_s()
            self.timer = self.loop.call_at(due, self._expired)

    def _patience_s(self) -> float:
        if self.reading is not None:
            return BODY_TIMEOUT_S
        if self.begun:
            return self.gateway.store_view.caller_limits.head_timeout_s
        return self.gateway.store_view.caller_limits.idle_timeout_s

    def _expired(self) -> None:
        self.timer = None
        if self.loop.time() < self.since + self._patience_s():
            # The limit was raised meanwhile.
            self._set_timer()
        elif self.reading is not None:
            self._reject(Failure(ErrorKind.BODY_TIMEOUT))
            self._flush()
        elif self.begun:
            self._reject(Failure(ErrorKind.HEAD_TIMEOUT))
            self._flush()
        elif not self.slots:
            self._close()

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def _failure(error: h11.RemoteProtocolError) -> Failure:
    if error.error_status_hint == NOT_IMPLEMENTED_HINT:
        return Failure(ErrorKind.METHOD_UNSUPPORTED, str(error))
    return Failure(ErrorKind.MALFORMED_REQUEST, str(error))
