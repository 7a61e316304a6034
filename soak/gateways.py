"""One gateway of a soak: its process, its ports and its log."""

import asyncio
import os
import socket

from soak.links import Link
from standins import processes, runner

# Below the range from which the system takes ports by itself.
LEAST_PORT = 12000
PORTS = 16000
# Ports of one run: three a daemon, and a few hundred daemons at most.
PORTS_EACH = 1000
# The platform acts on two questions for readiness without a good answer.
READY_MISSES = 2
# Line of a daemon that listens.
STARTED = "gateway: started."
# An error in the log that is no fault of the program.
EXPECTED_ERRORS = ("document is unreadable", "registration is unreadable")


class Daemon:
    """One gateway and the links around it.

    Attributes:
        number: Its number.
        callers: Link on which callers reach it.
        store: Link on which it reaches the store.
        control: Link on which other daemons reach it.
        child: Its process, or None while it is down.
        starting: Whether its process is being started.
        life: How often it was started.
        asked_at: Loop time of the order to end, or None.
        misses: Questions for readiness without a good answer, in a row.
        watcher: Waits for the end of the process.
    """

    def __init__(self, number: int, ports: list[int]) -> None:
        self.number = number
        self.callers_port, self.ready_port, self.control_port = ports
        self.callers: Link
        self.store: Link
        self.control: Link
        self.child: processes.Child | None = None
        self.starting = False
        self.life = 0
        self.asked_at: float | None = None
        self.misses = READY_MISSES
        self.watcher: asyncio.Task[None] | None = None

    @property
    def in_rotation(self) -> bool:
        """Whether callers are sent to it."""
        return self.misses < READY_MISSES


class Ports:
    """Ports of one run, which no other run on the machine takes.

    Those of a daemon that is down must not go to a server that starts, so that
    the system may not give them to anybody; and a run whose daemons are not up
    yet must not be overlooked by another one.

    Attributes:
        numbers: The ports.
        guard: Socket bound to the first port of the range while it is taken.
    """

    def __init__(self, numbers: list[int], guard: socket.socket) -> None:
        self.numbers = numbers
        self.guard = guard

    @classmethod
    def take(cls, count: int) -> "Ports":
        """Takes free ports of a range that no other run has.

        Raises:
            DemoError: There are none.
        """
        ranges = PORTS // PORTS_EACH
        for turn in range(ranges):
            number = (os.getpid() + turn) % ranges
            first = LEAST_PORT + number * PORTS_EACH
            guard = _bound(first)
            if guard is None:
                continue
            numbers = _free_ports(first + 1, first + PORTS_EACH, count)
            if len(numbers) == count:
                return cls(numbers, guard)
            guard.close()
        raise processes.DemoError("No free ports are left.")

    def give_back(self) -> None:
        """Lets other runs take the range."""
        self.guard.close()


def _free_ports(first: int, last: int, count: int) -> list[int]:
    found = []
    for port in range(first, last):
        one = _bound(port)
        if one is not None:
            one.close()
            found.append(port)
        if len(found) == count:
            break
    return found


def _bound(port: int) -> socket.socket | None:
    """Returns a socket bound to a port, or None if it is taken."""
    one = socket.socket()
    try:
        one.bind((runner.ADDRESS, port))
    except OSError:
        one.close()
        return None
    return one


def errors_of(child: processes.Child) -> list[str]:
    """Returns the lines of a log that tell of a fault of the program."""
    lines = child.log.read_text(errors="replace").splitlines()
    return [
        f"{child.name}: {line[:400]}"
        for line in lines
        if ('"level": "error"' in line or '"level":"error"' in line
            or line.startswith("Traceback"))
        and not any(text in line for text in EXPECTED_ERRORS)
    ]  # fmt: skip
