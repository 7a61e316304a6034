"""Limits on what a message may have beside its content.

Limits of heads and bodies count single heads and content. A message of many
tiny parts stays within them for a long time, and costs processor time for each
part.
"""

import h11

# Framing that any body may have, in bytes.
MAX_FRAMING_BYTES = 16384
# Informational responses before a final one.
MAX_INFORMATIONAL = 64
# Parts of messages that one connection parses, which takes up to 1 ms, before
# other tasks run.
PARTS_PER_STEP = 64
# Bytes read from a caller after its request was rejected; reading then stops
# until the connection is closed.
MAX_DISCARDED_BYTES = 1 << 20


class FramingMeter:
    """Tells the framing of one body from its content.

    Framing are the heads and extensions of chunks, and trailers.

    Attributes:
        codec: Parses the message; it has just returned the head.
        received: Bytes received since the head, parsed or not.
        content: Bytes of content among them.
    """

    __slots__ = ("codec", "content", "received")

    def __init__(self, codec: h11.Connection) -> None:
        self.codec = codec
        self.received = len(codec.trailing_data[0])
        self.content = 0

    def is_excessive(self) -> bool:
        """Returns whether a body has more framing than any sender needs."""
        unparsed = len(self.codec.trailing_data[0])
        framing = self.received - unparsed - self.content
        return framing > MAX_FRAMING_BYTES + self.content


class StepCounter:
    """Divides the parts that one connection parses into steps.

    Attributes:
        parts: Parts of the current step so far.
    """

    __slots__ = ("parts",)

    def __init__(self) -> None:
        self.parts = 0

    def ends_step(self) -> bool:
        """Counts a part; returns whether other tasks should run now."""
        self.parts = (self.parts + 1) % PARTS_PER_STEP
        return self.parts == 0
