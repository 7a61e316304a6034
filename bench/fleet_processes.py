"""One daemon as `bench.fleet` sees it: its process, log and usage."""

import asyncio
import datetime
import json
import pathlib
import signal
from typing import Any, NamedTuple

from banyantiller.http import client, outcomes
from standins import processes
from standins.demo import files

IN_FORCE_LINE = b"replica: bundle in force."
ERROR_FIELD = b'"level": "error"'
CHUNK_BYTES = 65536
CALL_S = 5.0
TICKS_A_SECOND = 100


class Usage(NamedTuple):
    """What a daemon has used so far.

    Attributes:
        cpu_s: Processor time in seconds.
        rss_mb: Resident memory in megabytes.
        peer_bytes: Bytes of frames on links, in and out.
        peer_messages: Messages on links, in and out.
    """

    cpu_s: float
    rss_mb: float
    peer_bytes: int
    peer_messages: int


class InForce(NamedTuple):
    """One log line of a daemon.

    Attributes:
        version: Bundle that came into force.
        at: Wall-clock seconds.
    """

    version: int
    at: float


class Relay:
    """Passes TCP connections on and counts their bytes.

    Attributes:
        moved: Bytes passed on, both ways.
        port: Where it listens.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.moved = 0
        self.port = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens."""
        self.server = await asyncio.start_server(
            self._serve, files.ADDRESS, 0, backlog=512
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Cuts every connection."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                files.ADDRESS, self.target
            )
        except OSError:
            writer.close()
            return
        try:
            async with asyncio.TaskGroup() as ways:
                ways.create_task(self._pass_on(reader, far_writer))
                ways.create_task(self._pass_on(far_reader, writer))
        except* OSError:
            pass
        finally:
            writer.close()
            far_writer.close()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            self.moved += len(data)
            writer.write(data)
            await writer.drain()
        writer.close()


class DaemonProcess:
    """One daemon over its restarts.

    Attributes:
        name: Name in its settings.
        path: Its settings file.
        admin: Its admin port.
        child: The running process.
        runs: Number of processes so far.
        history: Bundles that came into force, over all processes.
        errors: Lines logged as errors, over all processes.
    """

    def __init__(self, name: str, path: str, admin: int) -> None:
        self.name = name
        self.path = path
        self.admin = client.HttpClient(files.ADDRESS, admin)
        self.runs = 0
        self.history: list[InForce] = []
        self.errors = 0

    async def start(self, children: processes.Children) -> None:
        """Starts a process."""
        self.runs += 1
        self.offset = 0
        self.child = await children.start(
            f"{self.name}.{self.runs}",
            str(processes.PROGRAMS / "banyantillerd"),
            self.path,
            read=False,
        )

    async def kill(self) -> None:
        """Ends the process without a word."""
        self.read_log()
        self.child.signal(signal.SIGKILL)
        await self.child.process.wait()

    def read_log(self) -> None:
        """Reads what was logged since the last time."""
        with self.child.log.open("rb") as log:
            log.seek(self.offset)
            data = log.read()
        whole = data[: data.rfind(b"\n") + 1]
        self.offset += len(whole)
        for line in whole.splitlines():
            self.errors += ERROR_FIELD in line
            if IN_FORCE_LINE not in line:
                continue
            fields = json.loads(line)
            at = datetime.datetime.fromisoformat(fields["timestamp"])
            self.history.append(InForce(fields["version"], at.timestamp()))

    def version_here(self, version: int, since: float = 0.0) -> float | None:
        """Returns when a version or a later one came into force."""
        self.read_log()
        for item in self.history:
            if item.version >= version and item.at >= since:
                return item.at
        return None

    async def status(self) -> dict[str, Any] | None:
        """Returns the status page, or None if there is none."""
        outcome = await self.admin.request("GET", "/status", CALL_S)
        if isinstance(outcome, outcomes.Answered):
            return json.loads(outcome.body)
        return None

    async def usage(self) -> Usage:
        """Returns what the process has used so far."""
        process = pathlib.Path("/proc") / str(self.child.process.pid)
        page = await self.status()
        traffic = page["peer_traffic"]
        return Usage(
            cpu_seconds(process),
            resident_mb(process),
            traffic["bytes_in"] + traffic["bytes_out"],
            traffic["messages_in"] + traffic["messages_out"],
        )


def cpu_seconds(process: pathlib.Path) -> float:
    """Returns the processor time that a process has used."""
    fields = (process / "stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / TICKS_A_SECOND


def resident_mb(process: pathlib.Path) -> float:
    """Returns the resident memory of a process in megabytes."""
    for line in (process / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise processes.DemoError("a process has ended")
