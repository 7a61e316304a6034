"""One request of a caller's connection, from its head to its reply."""

import asyncio

import h11

from banyantiller.gateway import call as calls
from banyantiller.gateway import replies, requests
from banyantiller.http import messages
from banyantiller.quarantine import fingerprint
from banyantiller.utils import framing

BODILESS_STATUSES = (204, 304)


class PipelinedRequest:
    """One request on a connection, and its reply.

    Attributes:
        codec: h11 connection of this exchange.
        request: The request, or None if its head could not be parsed.
        body: What was received of the body so far.
        meter: Content and framing of the body that were received so far.
        fingerprint: Digest of the request as far as it was read, or None.
        call: The call, once the request was read completely.
        task: Task that runs the call.
        reply: The reply, once there is one.
    """

    def __init__(self, codec: h11.Connection) -> None:
        self.codec = codec
        self.request: requests.Request | None = None
        self.body = bytearray()
        self.meter = framing.FramingMeter(codec)
        self.fingerprint: fingerprint.Fingerprint | None = None
        self.call: calls.Call | None = None
        self.task: asyncio.Task[None] | None = None
        self.reply: replies.Reply | None = None

    @property
    def started(self) -> bool:
        """Whether the request was passed on, or has a reply."""
        return self.task is not None or self.reply is not None

    def encode_reply(self, closing: bool) -> bytes:
        """Returns the bytes of the reply.

        Args:
            closing: Whether the connection closes after it.
        """
        reply = self.reply
        headers = list(reply.headers)
        has_body = reply.status not in BODILESS_STATUSES
        if has_body:
            length = len(reply.body) if reply.length is None else reply.length
            headers.append(("content-length", str(length)))
        if closing:
            headers.append(("connection", "close"))
        data = self.codec.send(
            h11.Response(
                status_code=reply.status,
                headers=messages.encode_headers(headers),
            )
        )
        is_head = self.request is not None and self.request.method == "HEAD"
        if reply.body and has_body and not is_head:
            data += self.codec.send(h11.Data(data=reply.body))
        return data + self.codec.send(h11.EndOfMessage())
