"""Child processes of a demonstration or a soak, each ended at its end."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import sys
from typing import Any

START_S = 15.0
END_S = 20.0
COMMAND_S = 40.0
LOG_LINES = 15
PROGRAMS = pathlib.Path(sys.prefix) / "bin"


class DemoError(Exception):
    """A step failed; the message says which and why."""


class Child:
    """One long-running process.

    Attributes:
        name: Name in messages.
        process: The process.
        log: File of its standard error, and of its output if that isn't read.
    """

    def __init__(
        self, name: str, process: asyncio.subprocess.Process, log: pathlib.Path
    ) -> None:
        self.name = name
        self.process = process
        self.log = log

    async def read_line(self) -> dict[str, Any]:
        """Reads a line of JSON from its standard output."""
        assert self.process.stdout is not None
        async with asyncio.timeout(START_S):
            line = await self.process.stdout.readline()
        if not line:
            raise DemoError(f"{self.name} ended early.\n{self.tail()}")
        return json.loads(line)

    def signal(self, number: signal.Signals) -> bool:
        """Sends a signal to the process; False if it has ended.

        `Process.send_signal` may collect the exit status of a process that is
        just ending, and the event loop then reports status 255 in its place.
        """
        if self.process.returncode is not None:
            return False
        try:
            os.kill(self.process.pid, number)
        except ProcessLookupError:
            return False
        return True

    async def end(self) -> int:
        """Sends SIGTERM and returns the exit status."""
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(END_S):
                return await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
            raise DemoError(
                f"{self.name} did not end within {END_S:g} s.\n{self.tail()}"
            ) from None

    def tail(self) -> str:
        """Returns the last lines of its log."""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join(lines[-LOG_LINES:])


class Children:
    """Starts processes and ends those that are left.

    Attributes:
        folder: Where logs are written.
        running: Processes started so far.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.running: list[Child] = []

    async def start(
        self,
        name: str,
        *command: str,
        read: bool,
        env: dict[str, str] | None = None,
    ) -> Child:
        """Starts a process.

        Args:
            name: Name in messages.
            *command: Program and arguments.
            read: Whether its standard output is read by lines.
            env: Its environment; that of this process if None.
        """
        log = self.folder / f"{name}.log"
        with log.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                *command,
                stdout=asyncio.subprocess.PIPE if read else file,
                stderr=file,
                limit=1 << 24,
                env=env,
            )
        child = Child(name, process, log)
        self.running.append(child)
        return child

    async def end_all(self) -> None:
        """Ends every process, by force if it doesn't end by itself."""
        left = [c for c in self.running if c.process.returncode is None]
        for child in left:
            child.signal(signal.SIGTERM)
        for child in left:
            try:
                async with asyncio.timeout(END_S):
                    await child.process.wait()
            except TimeoutError:
                child.signal(signal.SIGKILL)
                await child.process.wait()


async def run_command(*arguments: str) -> dict[str, Any]:
    """Runs the command-line tool and returns what it prints with `--json`.

    Raises:
        DemoError: It failed.
    """
    process = await asyncio.create_subprocess_exec(
        str(PROGRAMS / "banyantiller"),
        *arguments,
        "--json",
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(COMMAND_S):
            out, err = await process.communicate()
    except TimeoutError:
        process.kill()
        await process.wait()
        raise DemoError(f"banyantiller {arguments[0]} hangs.") from None
    if process.returncode != 0:
        text = (out + err).decode(errors="replace").strip()
        raise DemoError(
            f"banyantiller {' '.join(arguments)} ended with status"
            f" {process.returncode}: {text}"
        )
    return json.loads(out)


def free_ports(count: int) -> list[int]:
    """Returns ports of the loopback address that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
