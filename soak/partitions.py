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


def daemon_at(source: str) -> int:
    """Returns the daemon that connects to servers from an address."""
    network, host = (int(part) for part in source.split(".")[2:])
    return (network - FIRST_NETWORK) * PER_NETWORK + host - 1
