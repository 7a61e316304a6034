"""The processes of the demonstration and what is done to them."""

import asyncio
import json
import pathlib
import sys
import time
from typing import Any

from banyantiller.http import client, outcomes
from standins import processes
from standins.demo import files, gateway

SERVERS = 3
DAEMONS = 2
READY_S = 15.0
POLL_S = 0.02
IN_FORCE_S = 20.0
OPERATORS = ("ana", "ben")


class Fleet:
    """Everything that runs.

    Attributes:
        folder: Temporary folder for settings, keys and logs.
        children: The processes.
        servers: Ports of the backend servers by name.
        backends: Their processes by name.
        counts: Final counts of servers that have ended, by name.
        daemons: Processes of the daemons.
        gateways: The daemons as callers reach them.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.children = processes.Children(folder)
        self.servers: dict[str, int] = {}
        self.backends: dict[str, processes.Child] = {}
        self.counts: dict[str, dict[str, Any]] = {}
        self.daemons: list[processes.Child] = []
        self.gateways: list[gateway.Gateway] = []
        self.platform = files.Platform(0, 0)
        self.settings: dict[str, str] = {}

    async def start(self) -> None:
        """Starts the platform, the backend servers and the daemons."""
        _, object_api = await self._start_standin("object_api", "object-api")
        _, vm_list = await self._start_standin("vm_list", "vm-list")
        self.platform = files.Platform(object_api, vm_list)
        for number in range(1, SERVERS + 1):
            name = f"server-{number}"
            arguments = ("--name", name, "--seed", str(number))
            child, port = await self._start_standin("backend", name, *arguments)
            self.backends[name] = child
            self.servers[name] = port
        await self._control(
            vm_list, "/standin/vms", files.vms(self.servers, DAEMONS)
        )
        operators = await self._make_operators()
        await self._start_daemons(operators)

    async def roll(self, number: int, description: str) -> float:
        """Proposes, signs and rolls a bundle.

        Args:
            number: Version that it must get.
            description: What the change is for.

        Returns:
            Seconds from its acceptance until it is in force in each daemon
            that is ready, seen by polling every `POLL_S`.
        """
        content = files.bundle(self.servers, description)
        path = files.write(self.folder / f"bundle-{number}.yaml", content)
        watched = [g for g in self.gateways if number == 1 or g.ready]
        watching = asyncio.ensure_future(self._watch_version(watched, number))
        try:
            proposed = await self._operate("ana", "propose", path)
            digest = proposed["digest"]
            await self._operate("ben", "sign", digest)
            arguments = ("--wait", "--daemons", str(len(watched)))
            await self._operate("ana", "roll", digest, *arguments)
            shown = await self._operate("ana", "show")
            seen_at = await watching
        finally:
            watching.cancel()
        if shown["version"] != number:
            raise processes.DemoError(f"version {number} is not in force")
        return max(0.0, seen_at - shown["accepted_at"])

    async def stop_server(self, name: str) -> int:
        """Stops a backend server; returns its exit status."""
        await self._control(
            self.platform.vm_list,
            f"/standin/vms/{name}",
            {"state": "leaving"},
        )
        child = self.backends[name]
        status = await child.end()
        self.counts[name] = await child.read_line()
        return status

    async def stop_daemon(self, number: int) -> int:
        """Stops a daemon; returns its exit status."""
        return await self.daemons[number].end()

    async def read_counts(self) -> list[dict[str, Any]]:
        """Returns what each backend server counted."""
        for name, port in self.servers.items():
            if name not in self.counts:
                self.counts[name] = await self._fetch(port, "/standin/runs")
        return list(self.counts.values())

    async def read_calls(self) -> dict[str, Any]:
        """Returns how often the object API was called."""
        return await self._fetch(self.platform.object_api, "/standin/calls")

    async def close(self) -> None:
        """Ends every process."""
        for reached in self.gateways:
            await reached.close()
        await self.children.end_all()

    async def _start_standin(
        self, module: str, name: str, *arguments: str
    ) -> tuple[processes.Child, int]:
        command = (sys.executable, "-m", f"standins.{module}", *arguments)
        child = await self.children.start(name, *command, read=True)
        bound = await child.read_line()
        return child, bound["port"]

    async def _make_operators(self) -> tuple[files.Operator, ...]:
        operators = []
        for name in OPERATORS:
            made = await processes.run_command(
                "keys", name, "--directory", str(self.folder)
            )
            operators.append(
                files.Operator(name, made["public_key"], made["key_file"])
            )
        everyone = tuple(operators)
        for own in everyone:
            value = files.operator_settings(own, self.platform, everyone)
            path = self.folder / f"{own.name}.yaml"
            self.settings[own.name] = files.write(path, value)
        return everyone

    async def _start_daemons(
        self, operators: tuple[files.Operator, ...]
    ) -> None:
        free = processes.free_ports(3 * DAEMONS)
        ports = tuple(
            files.DaemonPorts(*free[3 * n : 3 * n + 3]) for n in range(DAEMONS)
        )
        for number in range(DAEMONS):
            value = files.daemon_settings(
                number, ports, self.platform, operators
            )
            name = value["daemon"]
            path = files.write(self.folder / f"{name}.yaml", value)
            program = str(processes.PROGRAMS / "banyantillerd")
            child = await self.children.start(name, program, path, read=False)
            self.daemons.append(child)
            own = ports[number]
            self.gateways.append(gateway.Gateway(own.callers, own.admin))
        for child, reached in zip(self.daemons, self.gateways, strict=True):
            await _wait_until_alive(child, reached)

    async def _watch_version(
        self, gateways: list[gateway.Gateway], version: int
    ) -> float:
        """Returns the wall time at which all have the version in force."""
        waiting = list(gateways)
        async with asyncio.timeout(IN_FORCE_S + processes.COMMAND_S):
            while waiting:
                found = [(g, await g.bundle()) for g in waiting]
                waiting = [g for g, seen in found if seen < version]
                await asyncio.sleep(POLL_S)
        return time.time()

    async def _operate(self, operator: str, *arguments: str) -> dict[str, Any]:
        return await processes.run_command(
            *arguments, "--settings", self.settings[operator]
        )

    async def _control(self, port: int, target: str, value: Any) -> None:
        user = client.HttpClient(files.ADDRESS, port)
        sent = json.dumps(value).encode()
        outcome = await user.request("PUT", target, 5.0, body=sent)
        await user.close()
        _check_answer(target, outcome)

    async def _fetch(self, port: int, target: str) -> dict[str, Any]:
        user = client.HttpClient(files.ADDRESS, port)
        outcome = await user.request("GET", target, 5.0)
        await user.close()
        return json.loads(_check_answer(target, outcome).body)


def _check_answer(target: str, outcome: outcomes.Outcome) -> outcomes.Answered:
    if isinstance(outcome, outcomes.Answered):
        if outcome.response.status == 200:
            return outcome
        raise processes.DemoError(f"{target}: status {outcome.response.status}")
    raise processes.DemoError(f"{target}: {outcome.reason}")


async def _wait_until_alive(
    child: processes.Child, reached: gateway.Gateway
) -> None:
    loop = asyncio.get_running_loop()
    ends = loop.time() + READY_S
    while loop.time() < ends and child.process.returncode is None:
        outcome = await reached.admin.request("GET", "/healthz", 1.0)
        if isinstance(outcome, outcomes.Answered):
            return
        await asyncio.sleep(POLL_S)
    raise processes.DemoError(f"{child.name} is not alive.\n{child.tail()}")
