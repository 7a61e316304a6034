"""The read buffer that all connections of the process share.

A connection consumes what was read before the next one reads, so that one
buffer is enough and no read allocates.
"""

READ_BYTES = 65536
HIGH_WATER_BYTES = 65536
LOW_WATER_BYTES = 16384

SHARED = memoryview(bytearray(READ_BYTES))
