"""Partitions daemons from all servers, while all else reaches them.

Each daemon connects to servers from an address of its own, by which links tell
whose connection it is.
"""

SILENT = "silent"
RESET = "reset"
HALF = "half"
CHOICES = (SILENT, RESET, HALF)
# Choices with which new connections are refused.
REFUSING = (RESET, HALF)
# Addresses are those of the loopback network from 127.0.1.1 on.
FIRST_NETWORK = 1
PER_NETWORK = 250


def source_of(daemon: int) -> str:
    """Returns the address from which a daemon connects to servers."""
    network, host = divmod(daemon, PER_NETWORK)
    return f"127.0.{FIRST_NETWORK + network}.{1 + host}"
