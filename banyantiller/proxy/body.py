"""The request body as far as it is kept for another try."""

import h11

from banyantiller.proxy import headers


class RequestBody:
    """Keeps the start of a body until it outgrows the limit.

    Attributes:
        limit: Most bytes that are kept once a try has begun.
        parts: What was received, unless `kept` is False.
        size: Bytes received.
        kept: Whether `parts` still holds all that was received.
        complete: Whether the end was received.
        end_event: The end as it is passed on, once complete.
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
        """Takes a part.

        Args:
            data: The part.
            streaming: Whether a try has begun, so that a body over the limit
                can be let go.
        """
        self.size += len(data)
        if self.is_buffered:
            self.chunks.append(data)
            if streaming:
                self.discard_if_over_limit()

    def set_end(self, event: h11.EndOfMessage) -> None:
        """Takes the end."""
        self.complete = True
        self.end_event = event

    def discard_if_over_limit(self) -> None:
        """Forgets the body if it is over the limit; a try has begun."""
        if self.size > self.limit:
            self.is_buffered = False
            self.chunks = []

    def is_over_limit(self) -> bool:
        """Whether no more may be taken before a try begins."""
        return self.is_buffered and self.size > self.limit
