"""The request body, buffered for a retry up to a limit."""

import h11

from banyantiller.proxy import headers


class RequestBody:
    """Buffers a body until it exceeds the limit.

    Attributes:
        limit: Maximum number of bytes buffered once an attempt has begun.
        chunks: Received data, empty if `is_buffered` is False.
        size: Number of bytes received.
        is_buffered: Whether `chunks` still holds all received data.
        complete: Whether the end was received.
        end_event: The end event to forward, once complete.
    """

    __slots__ = (
        "chunks",
        "complete",
        "end_event",
        "is_buffered",
        "limit",
        "size",
    )

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.chunks: list[bytes] = []
        self.size = 0
        self.is_buffered = True
        self.complete = False
        self.end_event = headers.END

    def add_data(self, data: bytes, streaming: bool) -> None:
        """Adds received data.

        Args:
            data: The data.
            streaming: Whether an attempt has begun, so that a body over the
                limit can be discarded.
        """
        self.size += len(data)
        if self.is_buffered:
            self.chunks.append(data)
            if streaming:
                self.discard_if_over_limit()

    def set_end(self, event: h11.EndOfMessage) -> None:
        """Records the end of the body."""
        self.complete = True
        self.end_event = event

    def discard_if_over_limit(self) -> None:
        """Discards the buffered data if it is over the limit.

        Called only once an attempt has begun.
        """
        if self.size > self.limit:
            self.is_buffered = False
            self.chunks = []

    def is_over_limit(self) -> bool:
        """Returns whether reading must pause until an attempt begins."""
        return self.is_buffered and self.size > self.limit
