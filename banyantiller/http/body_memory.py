"""Shares memory among the bodies that are being read."""


class BodyMemory:
    """Memory for bodies over all connections.

    A body may be as large as a multiple of what is free. Bodies without end,
    however many, then leave some memory to others.

    Attributes:
        max_bytes: Size of the memory.
        free_ratio: How much larger than the free memory a body may be.
        used: Bytes that bodies take now.
    """

    def __init__(self, max_bytes: int, free_ratio: int = 1) -> None:
        self.max_bytes = max_bytes
        self.free_ratio = free_ratio
        self.used = 0

    def allows(self, size: int) -> bool:
        """Returns whether a body may be as large as it is now.

        Args:
            size: Its size in bytes, which `used` includes.
        """
        return size <= self.free_ratio * (self.max_bytes - self.used)
