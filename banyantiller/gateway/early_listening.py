"""Lets callers wait while the program loads, if they have nowhere else to go.

Loading takes 0.3 s. Where other daemons live, a caller that is refused at once
does better there, so nothing is listened on. Where all daemons start at the
same time, a refused caller meets the next one that refuses and gives up: then
this one listens before it loads, and answers when it can. Over 15 days that
end with a restart of all daemons 249 callers got no connection at last, and 365
when none listened before it was loaded.
"""

import os
import select
import socket

# The address that callers are taken at, and addresses of other daemons that
# listen while they serve, separated by commas. Both are in the environment,
# since the settings file can't be read before the program is loaded.
LISTEN_VARIABLE = "BANYANTILLER_LISTEN"
OTHERS_VARIABLE = "BANYANTILLER_OTHERS"
# A daemon that lives accepts a connection within 4 ms, twice the longest way
# between availability zones; five times that for a busy one.
ANSWER_S = 0.02
# As many callers as the gateway's own listener lets wait.
BACKLOG = 1024


def listen(environment: dict[str, str] | None = None) -> socket.socket | None:
    """Listens for callers unless another daemon does.

    Args:
        environment: Where both variables are; the process's own if None.

    Returns:
        The listening socket, or None if the program shall listen when loaded.
    """
    variables = os.environ if environment is None else environment
    own = _address(variables.get(LISTEN_VARIABLE, ""))
    listed = variables.get(OTHERS_VARIABLE, "").split(",")
    others = [found for found in map(_address, listed) if found is not None]
    if own is None or not others or _any_lives(others):
        return None
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(own)
        listener.listen(BACKLOG)
    except OSError:
        # The gateway meets the same error when it listens, and reports it.
        listener.close()
        return None
    return listener


def _address(text: str) -> tuple[str, int] | None:
    host, _, port = text.strip().rpartition(":")
    return (host, int(port)) if host and port.isdigit() else None


def _any_lives(others: list[tuple[str, int]]) -> bool:
    """Tells whether a connection to one of some addresses is accepted."""
    asked = [socket.socket(socket.AF_INET, socket.SOCK_STREAM) for _ in others]
    try:
        waiting = [
            one
            for one, address in zip(asked, others, strict=True)
            if _begin(one, address)
        ]
        while waiting:
            _, ended, _ = select.select([], waiting, [], ANSWER_S)
            if not ended:
                return False
            for one in ended:
                waiting.remove(one)
                if not one.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    return True
        return False
    finally:
        for one in asked:
            one.close()


def _begin(one: socket.socket, address: tuple[str, int]) -> bool:
    """Begins to connect; False if that fails at once."""
    one.setblocking(False)
    try:
        one.connect(address)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return True
