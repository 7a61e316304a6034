"""Shares memory among the bodies that are being read."""


class BodyMemory:
    """Memory for bodies over all connections.

    A body may be as large as what is free. Bodies without end, however many,
    then leave some memory to others.

    Attributes:
        max_bytes: Size of the memory.
        used: Bytes that bodies take now.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used = 0

    def allows(self, size: int) -> bool:
        """Returns whether a body may be as large as it is now.

        Args:
            size: Its size in bytes, which `used` includes.
        """
        return size <= self.max_bytes - self.used
