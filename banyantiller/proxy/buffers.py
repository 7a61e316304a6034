"""The read buffer shared by all connections of the process.

Each connection consumes what it read before the next one reads, so one buffer
suffices and reads allocate nothing.
"""

READ_BYTES = 65536
HIGH_WATER_BYTES = 65536
LOW_WATER_BYTES = 16384

SHARED = memoryview(bytearray(READ_BYTES))
