"""Limits on what a message may have beside its content.

Limits of heads and bodies count single heads and content. A message of many
tiny parts stays within them for a long time, and costs processor time for each
part.
"""

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
        received: Bytes received since the head, parsed or not.
        content: Bytes of content among them.
    """

    __slots__ = ("content", "received")

    def __init__(self, received: int = 0) -> None:
        self.received = received
        self.content = 0

    def is_excessive(self, unparsed: int) -> bool:
        """Returns whether a body has more framing than any sender needs.

        Args:
            unparsed: Received bytes that were not parsed yet.
        """
        framing = self.received - unparsed - self.content
        return framing > MAX_FRAMING_BYTES + self.content
