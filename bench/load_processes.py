"""The processes of `bench.load`: servers and daemons that are restarted."""

import asyncio
import collections
import json
import pathlib
import signal
import sys
from typing import Any

from banyantiller.http import client, outcomes
from bench.load_callers import Gateway
from standins import processes
from standins.demo import files

CALL_S = 5.0
ALIVE_S = 30.0
POLL_S = 0.05
SUMMED = (
    "received",
    "answered",
    "failed",
    "shed",
    "cancelled",
    "probes",
    "busy_s",
)


class Server:
    """One backend server over its restarts.

    Attributes:
        name: Its name.
        port: Where each process listens.
        child: The running process.
        totals: Counts of ended processes and, at the end, of the last one.
        runs_by_id: Runs by request id.
        runs_by_key: Runs by idempotency key.
        last_after_drain_s: Latest arrival after the start of a drain.
    """

    def __init__(
        self, children: processes.Children, name: str, port: int, *rest: str
    ) -> None:
        self.children = children
        self.name = name
        self.port = port
        self.rest = rest
        self.control = client.HttpClient(files.ADDRESS, port)
        self.totals: collections.Counter[str] = collections.Counter()
        self.runs_by_id: collections.Counter[str] = collections.Counter()
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self.last_after_drain_s = 0.0
        self.started = 0
        self.journal = pathlib.Path()

    async def start(self) -> None:
        """Starts a process and waits until it listens."""
        self.started += 1
        title = f"{self.name}.{self.started}"
        self.journal = self.children.folder / f"{title}.runs"
        self.journal.unlink(missing_ok=True)
        self.child = await self.children.start(
            title,
            *(sys.executable, "-m", "standins.backend"),
            *("--name", self.name, "--port", str(self.port)),
            *("--journal", str(self.journal)),
            *self.rest,
            read=True,
        )
        await self.child.read_line()

    async def set_slow(self, factor: float) -> None:
        """Makes each request take longer by a factor."""
        body = json.dumps({"slow": factor}).encode()
        await self.control.request("PUT", "/standin/faults", CALL_S, body=body)

    async def stop(self) -> None:
        """Ends the process gracefully and takes its counts."""
        status = await self.child.end()
        if status != 0:
            raise processes.DemoError(f"{self.name} ended with {status}.")
        self._add(await self.child.read_line())

    async def kill(self) -> None:
        """Ends the process without a word; its journal has its runs."""
        self.child.signal(signal.SIGKILL)
        await self.child.process.wait()
        for line in self.journal.read_text().splitlines():
            request_id, _, key = line.partition("\t")
            self.totals["received"] += 1
            self.runs_by_id[request_id] += 1
            if key:
                self.runs_by_key[key] += 1

    async def count(self) -> None:
        """Takes the counts of the running process."""
        outcome = await self.control.request("GET", "/standin/runs", CALL_S)
        if not isinstance(outcome, outcomes.Answered):
            raise processes.DemoError(f"{self.name} tells no counts.")
        self._add(json.loads(outcome.body))

    def _add(self, told: dict[str, Any]) -> None:
        self.totals.update({name: told[name] for name in SUMMED})
        self.runs_by_id.update(told["runs_by_id"])
        self.runs_by_key.update(told["runs_by_key"])
        self.last_after_drain_s = max(
            self.last_after_drain_s, told["last_after_drain_s"]
        )


class Daemon:
    """One daemon over its restarts.

    Attributes:
        name: Name in its settings.
        gateway: The daemon as callers reach it.
        child: The running process.
        exits: Exit status of each process that was told to end.
    """

    def __init__(
        self,
        children: processes.Children,
        name: str,
        command: tuple[str, ...],
        gateway: Gateway,
    ) -> None:
        self.children = children
        self.name = name
        self.command = command
        self.gateway = gateway
        self.started = 0
        self.exits: list[int] = []

    async def start(self) -> None:
        """Starts a process."""
        self.started += 1
        self.child = await self.children.start(
            f"{self.name}.{self.started}", *self.command, read=False
        )

    async def stop(self) -> None:
        """Ends the process gracefully."""
        self.exits.append(await self.child.end())

    async def kill(self) -> None:
        """Ends the process without a word."""
        self.child.signal(signal.SIGKILL)
        await self.child.process.wait()

    async def wait_alive(self) -> None:
        """Waits until its admin pages are served.

        Raises:
            DemoError: It ended or does not answer.
        """
        loop = asyncio.get_running_loop()
        ends = loop.time() + ALIVE_S
        while loop.time() < ends and self.child.process.returncode is None:
            if await self.read_page("/healthz") is not None:
                return
            await asyncio.sleep(POLL_S)
        raise processes.DemoError(
            f"{self.name} is not alive.\n{self.child.tail()}"
        )

    async def wait_ready(self) -> None:
        """Waits until it wants callers.

        Raises:
            DemoError: It does not become ready.
        """
        loop = asyncio.get_running_loop()
        ends = loop.time() + ALIVE_S
        while not self.gateway.ready:
            if loop.time() > ends:
                raise processes.DemoError(
                    f"{self.name} is not ready.\n{self.child.tail()}"
                )
            await asyncio.sleep(POLL_S)

    async def read_page(self, target: str) -> bytes | None:
        """Returns an admin page, or None if there is none."""
        outcome = await self.gateway.admin.request("GET", target, 1.0)
        if isinstance(outcome, outcomes.Answered):
            return outcome.body
        return None
