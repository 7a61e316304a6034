"""The fleet of `bench.load`: platform, backend servers, daemons, bundle."""

import asyncio
import collections
import json
import math
import os
import pathlib
import sys
import time
from typing import Any, NamedTuple

from banyantiller.bundle import (
    acceptance,
    approval,
    descriptions,
    operators,
    outcomes,
    parsing,
    proposals,
    signing,
)
from banyantiller.config import defaults
from banyantiller.http import client
from banyantiller.store import kubernetes
from bench.decisions import SIGMA, Size
from bench.decisions_world import BACKLOG_PER_SLOT
from bench.fleet_processes import cpu_seconds
from bench.load_callers import Gateway
from bench.load_processes import CALL_S, Daemon, Server
from standins import processes
from standins.demo import files

OPERATORS = ("ana", "ben")
DRAIN_S = 3.0
LONGEST_WAIT = 0.8
GRACE_S = 2.0
LIMIT_S = 15.0
MEET_S = 30.0
POLL_S = 0.1


class Plan(NamedTuple):
    """What is started.

    Attributes:
        service: Name of the service.
        size: Its size, as in `bench.decisions`.
        daemons: Number of daemons.
        policy: Name of the routing plug-in.
        seed: Seed of service times.
    """

    service: str
    size: Size
    daemons: int
    policy: str
    seed: int


def cores(
    before: dict[tuple[str, int], float],
    after: dict[tuple[str, int], float],
    seconds: float,
) -> dict[str, float]:
    """Returns cores used by part; processes replaced meanwhile are left out."""
    used: collections.Counter[str] = collections.Counter()
    for (part, pid), total in after.items():
        if (part, pid) in before:
            used[part] += total - before[part, pid]
    return {part: round(spent / seconds, 2) for part, spent in used.items()}


class Fleet:
    """Everything that runs.

    Attributes:
        servers: The backend servers.
        daemons: The daemons.
    """

    def __init__(self, folder: pathlib.Path, plan: Plan) -> None:
        self.folder = folder
        self.plan = plan
        self.children = processes.Children(folder)
        self.servers: list[Server] = []
        self.daemons: list[Daemon] = []
        self.followers: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts everything; returns when callers can be served."""
        object_api = await self._start_standin("object_api")
        vm_list = await self._start_standin("vm_list")
        self.platform = files.Platform(object_api, vm_list)
        self.vm_list = client.HttpClient(files.ADDRESS, vm_list)
        await self._start_servers()
        ports = {server.name: server.port for server in self.servers}
        listed = files.vms(ports, self.plan.daemons)
        await self._control("/standin/vms", listed)
        pairs = {name: signing.KeyPair.generate() for name in OPERATORS}
        await self._start_daemons(pairs)
        await self._roll(pairs, self._bundle(ports))
        for daemon in self.daemons:
            follower = asyncio.ensure_future(daemon.gateway.follow())
            self.followers.append(follower)
        for daemon in self.daemons:
            await daemon.wait_ready()
        await self._wait_until_met()

    async def set_vm(self, name: str, state: str) -> None:
        """Lists a server's VM as "live" or "leaving"."""
        await self._control(f"/standin/vms/{name}", {"state": state})

    async def task_failures(self) -> dict[str, Any]:
        """Returns the failed tasks that daemons tell, by daemon."""
        found = {}
        for daemon in self.daemons:
            page = await daemon.read_page("/status")
            told = json.loads(page or b"{}").get("task_failures")
            if told:
                found[daemon.name] = told
        return found

    def processor_s(self) -> dict[tuple[str, int], float]:
        """Returns processor time by part and process."""
        found = {("callers", os.getpid()): time.process_time()}
        groups = {"daemons": self.daemons, "servers": self.servers}
        for part, items in groups.items():
            for item in items:
                pid = item.child.process.pid
                folder = pathlib.Path("/proc") / str(pid)
                found[part, pid] = cpu_seconds(folder)
        return found

    async def close(self) -> None:
        """Ends every process."""
        for follower in self.followers:
            follower.cancel()
        await asyncio.gather(*self.followers, return_exceptions=True)
        for daemon in self.daemons:
            daemon.gateway.connections.close()
        await self.children.end_all()

    async def _start_standin(self, module: str) -> int:
        command = (sys.executable, "-m", f"standins.{module}")
        child = await self.children.start(module, *command, read=True)
        return (await child.read_line())["port"]

    async def _start_servers(self) -> None:
        size = self.plan.size
        median_s = size.mean_s * math.exp(-(SIGMA**2) / 2)
        ports = processes.free_ports(size.servers)
        for number, port in enumerate(ports):
            server = Server(
                self.children,
                f"server-{number}",
                port,
                *("--slots", str(size.slots)),
                *("--queue", str(BACKLOG_PER_SLOT * size.slots)),
                *("--service-s", str(median_s), "--sigma", str(SIGMA)),
                *("--seed", str(self.plan.seed * 1000 + number)),
                *("--drain-s", str(DRAIN_S)),
            )
            self.servers.append(server)
        await asyncio.gather(*(server.start() for server in self.servers))

    async def _start_daemons(self, pairs: dict[str, signing.KeyPair]) -> None:
        keys = tuple(
            files.Operator(name, pair.public, "")
            for name, pair in pairs.items()
        )
        count = self.plan.daemons
        free = processes.free_ports(3 * count)
        ports = tuple(
            files.DaemonPorts(*free[3 * n : 3 * n + 3]) for n in range(count)
        )
        for number in range(count):
            value = files.daemon_settings(number, ports, self.platform, keys)
            value["routing"] = self.plan.policy
            value["drain"] = {"grace_s": GRACE_S, "limit_s": LIMIT_S}
            name = value["daemon"]
            path = files.write(self.folder / f"{name}.yaml", value)
            gateway = Gateway(ports[number].callers, ports[number].admin)
            command = (*self._program(), path)
            self.daemons.append(Daemon(self.children, name, command, gateway))
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_alive()

    def _program(self) -> tuple[str, ...]:
        if self.plan.policy == "adaptive":
            return (str(processes.PROGRAMS / "banyantillerd"),)
        return (sys.executable, "-m", "bench.load_daemon")

    async def _roll(
        self, pairs: dict[str, signing.KeyPair], content: dict[str, Any]
    ) -> None:
        """Proposes, signs and rolls the bundle."""
        trusted = tuple(
            defaults.TrustedKey(name, pair.public)
            for name, pair in pairs.items()
        )

        async def audit(action: str, detail: dict[str, Any]) -> str:  # noqa: ARG001
            return ""

        ana, ben = (
            operators.Operator(name, pair.private, trusted, audit, time.time)
            for name, pair in pairs.items()
        )
        endpoint = defaults.Endpoint(files.ADDRESS, self.platform.object_api)
        store = kubernetes.KubernetesStore.from_settings(
            defaults.ObjectApiSettings(endpoint), files.DEPLOYMENT
        )
        bundle = parsing.parse(json.dumps(content), "bundle").bundle
        made = await proposals.propose(store, files.DEPLOYMENT, bundle, ana)
        await approval.sign(store, files.DEPLOYMENT, made.digest, ben)
        rolled = await acceptance.roll(
            store, files.DEPLOYMENT, made.digest, ana
        )
        await store.close()
        if not isinstance(rolled, outcomes.Rolled):
            raise processes.DemoError(descriptions.describe(rolled))

    def _bundle(self, ports: dict[str, int]) -> dict[str, Any]:
        size = self.plan.size
        content = files.bundle(ports, "The load's service.")
        (service,) = content["services"]
        service.update(
            name=self.plan.service,
            slots=size.slots,
            objective=size.objective,
            deadline_s=size.deadline_s,
            measuring={"probes_per_second": size.probes},
            queue={"longest_s": LONGEST_WAIT * size.deadline_s},
        )
        return content

    async def _wait_until_met(self) -> None:
        loop = asyncio.get_running_loop()
        ends = loop.time() + MEET_S
        while loop.time() < ends:
            pages = [await d.read_page("/status") for d in self.daemons]
            members = [json.loads(p or b"{}").get("members", ()) for p in pages]
            if all(len(item) == len(self.daemons) for item in members):
                return
            await asyncio.sleep(POLL_S)
        raise processes.DemoError("The daemons did not all meet.")

    async def _control(self, target: str, value: Any) -> None:
        body = json.dumps(value).encode()
        await self.vm_list.request("PUT", target, CALL_S, body=body)
