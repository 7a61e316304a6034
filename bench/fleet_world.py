"""The world of `bench.fleet`: stand-ins, daemons and operators.

Daemons reach the object API through a relay in this process that counts
bytes. Backend servers are ports in this process that answer probes.
"""

import asyncio
import itertools
import json
import pathlib
import sys
import time
from typing import Any

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
from bench import overhead_roles
from bench.fleet_processes import (
    CALL_S,
    DaemonProcess,
    Relay,
    Usage,
    resident_mb,
)
from standins import processes
from standins.demo import files

OPERATORS = ("ana", "ben")
SERVERS = 10
POLL_S = 0.02
READY_S = 60.0


class World:
    """Stand-ins, daemons and operators.

    Attributes:
        daemons: The daemons.
        relay: Between daemons and the object API.
        version: Version that was rolled last.
    """

    def __init__(
        self, folder: pathlib.Path, daemons: int, services: int
    ) -> None:
        self.folder = folder
        self.count = daemons
        self.services = services
        self.children = processes.Children(folder)
        self.daemons: list[DaemonProcess] = []
        self.version = 0

    async def start(self) -> None:
        """Starts everything and waits until all daemons know each other."""
        command = (sys.executable, "-m", "standins.object_api")
        child = await self.children.start("object-api", *command, read=True)
        self.object_api = (await child.read_line())["port"]
        self.control = client.HttpClient(files.ADDRESS, self.object_api)
        self.relay = Relay(self.object_api)
        await self.relay.start()
        self.backends = [await _listen() for _ in range(self._servers())]
        self._make_operators()
        await self._start_daemons()
        await self._wait_until_met()

    async def close(self) -> None:
        """Ends every process."""
        await self.children.end_all()
        await self.relay.close()
        for server in self.backends:
            server.close()

    async def roll(self) -> float:
        """Rolls a bundle that changes one service.

        Returns:
            Wall-clock seconds at which its acceptance was being written.
        """
        number = self.version + 1
        text = json.dumps(self._bundle(number))
        bundle = parsing.parse(text, "bundle").bundle
        proposed = await proposals.propose(
            self.store, files.DEPLOYMENT, bundle, self.operators[0]
        )
        digest = proposed.digest
        await approval.sign(
            self.store, files.DEPLOYMENT, digest, self.operators[1]
        )
        rolled = await acceptance.roll(
            self.store, files.DEPLOYMENT, digest, self.operators[0]
        )
        if not isinstance(rolled, outcomes.Rolled):
            raise processes.DemoError(descriptions.describe(rolled))
        self.version = number
        return rolled.accepted.accepted_at

    async def wait_in_force(
        self, since: dict[str, float] | None = None
    ) -> list[float]:
        """Waits until the last bundle is in force in every daemon.

        Args:
            since: For daemons that were restarted, the wall-clock time before
                which their lines do not count.

        Returns:
            When it came into force, for each daemon.
        """
        since = since or {}
        ends = time.monotonic() + READY_S
        while time.monotonic() < ends:
            times = [
                daemon.version_here(self.version, since.get(daemon.name, 0.0))
                for daemon in self.daemons
            ]
            if None not in times:
                return times
            await asyncio.sleep(POLL_S)
        late = [
            daemon.name
            for daemon, at in zip(self.daemons, times, strict=True)
            if at is None
        ]
        raise processes.DemoError(
            f"Version {self.version} is not in force in {', '.join(late)}."
        )

    async def set_faults(self, **faults: Any) -> None:
        """Sets faults of the object API."""
        body = json.dumps(faults).encode()
        await self.control.request("PUT", "/standin/faults", CALL_S, body=body)

    async def calls(self) -> int:
        """Returns the calls that the object API has counted."""
        outcome = await self.control.request("GET", "/standin/calls", CALL_S)
        return json.loads(outcome.body)["total"]

    async def usages(self) -> list[Usage]:
        """Returns what each daemon has used so far."""
        return [await daemon.usage() for daemon in self.daemons]

    def reverted(self) -> int:
        """Counts the times that a daemon put a lower version in force."""
        count = 0
        for daemon in self.daemons:
            daemon.read_log()
            versions = [item.version for item in daemon.history]
            pairs = itertools.pairwise(versions)
            count += sum(1 for before, after in pairs if after < before)
        return count

    async def plain_proxy_mb(self) -> float:
        """Returns the memory of the data path alone, in megabytes."""
        child = await self.children.start(
            "plain-proxy",
            sys.executable,
            "-m",
            "bench.overhead_roles",
            "proxy",
            *map(str, self._ports()[:SERVERS]),
            read=True,
        )
        await child.read_line()
        return resident_mb(pathlib.Path("/proc") / str(child.process.pid))

    def _servers(self) -> int:
        return self.services * SERVERS

    def _ports(self) -> list[int]:
        return [s.sockets[0].getsockname()[1] for s in self.backends]

    def _bundle(self, number: int) -> dict[str, Any]:
        ports = self._ports()
        services = []
        for index in range(self.services):
            own = ports[index * SERVERS : (index + 1) * SERVERS]
            servers = {
                f"server-{index}-{place}": port
                for place, port in enumerate(own)
            }
            (service,) = files.bundle(servers, "")["services"]
            service["name"] = f"service-{index}"
            service["path"] = f"/service-{index}"
            for rule in service["requests"]:
                rule["path"] = service["path"]
            services.append(service)
        services[number % self.services]["deadline_s"] = 10 + number / 100
        return {"description": f"Change {number}.", "services": services}

    def _make_operators(self) -> None:
        pairs = {name: signing.KeyPair.generate() for name in OPERATORS}
        self.keys = tuple(
            files.Operator(name, pair.public, "")
            for name, pair in pairs.items()
        )
        trusted = tuple(
            defaults.TrustedKey(key.name, key.public_key) for key in self.keys
        )

        async def audit(action: str, detail: dict[str, Any]) -> str:  # noqa: ARG001
            return ""

        self.operators = [
            operators.Operator(name, pair.private, trusted, audit, time.time)
            for name, pair in pairs.items()
        ]
        endpoint = defaults.Endpoint(files.ADDRESS, self.object_api)
        self.store = kubernetes.KubernetesStore.from_settings(
            defaults.ObjectApiSettings(endpoint), files.DEPLOYMENT
        )

    async def _start_daemons(self) -> None:
        free = processes.free_ports(3 * self.count)
        ports = tuple(
            files.DaemonPorts(*free[3 * n : 3 * n + 3])
            for n in range(self.count)
        )
        platform = files.Platform(self.relay.port, 0)
        for number in range(self.count):
            value = files.daemon_settings(number, ports, platform, self.keys)
            del value["vm_list"]
            value["peers"]["seeds"] = value["peers"]["seeds"][:8]
            value["drain"] = {"grace_s": 0, "limit_s": 2.0}
            value["log"] = {"level": "info", "format": "json"}
            name = value["daemon"]
            path = files.write(self.folder / f"{name}.yaml", value)
            daemon = DaemonProcess(name, path, ports[number].admin)
            self.daemons.append(daemon)
            await daemon.start(self.children)

    async def _wait_until_met(self) -> None:
        ends = time.monotonic() + READY_S
        while time.monotonic() < ends:
            pages = [await daemon.status() for daemon in self.daemons]
            if all(p and len(p["members"]) == self.count for p in pages):
                return
            await asyncio.sleep(0.5)
        raise processes.DemoError("The daemons did not all meet.")


async def _listen() -> asyncio.Server:
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        overhead_roles.Backend, files.ADDRESS, 0, backlog=512
    )
