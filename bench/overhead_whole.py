"""A whole daemon for `bench.overhead --whole`: `banyantillerd` as installed.

The daemon reads its settings from a file and its bundle from a stand-in of
the object API, through which the bundle is proposed, signed and rolled, so
that metrics, evidence and the other parts run beside the data path.
"""

import asyncio
import contextlib
import json
import pathlib
import sys
import time
from collections.abc import AsyncIterator
from typing import Any

from banyantiller.bundle import (
    acceptance,
    approval,
    outcomes,
    parsing,
    proposals,
    signing,
)
from banyantiller.config import defaults
from banyantiller.http import client
from banyantiller.http import outcomes as answers
from banyantiller.store import kubernetes
from bench import overhead_roles
from bench.fleet_processes import cpu_seconds
from standins import processes
from standins.demo import files

OPERATORS = ("ana", "ben")
READY_S = 30.0
POLL_S = 0.1
CALL_S = 1.0


class WholeDaemon:
    """The running daemon.

    Attributes:
        ports: Where it takes calls.
        folder: Its directory of the process table.
    """

    def __init__(self, port: int, pid: int) -> None:
        self.ports = [port]
        self.folder = pathlib.Path("/proc") / str(pid)

    def cpu_s(self) -> float:
        """Returns its processor time so far; a tick is 10 ms."""
        return cpu_seconds(self.folder)


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path, servers: list[int]
) -> AsyncIterator[WholeDaemon]:
    """Runs a daemon that has a bundle with the servers in force.

    Args:
        folder: Takes settings and logs.
        servers: Ports of the backend servers.

    Raises:
        DemoError: A process ended early, or the daemon does not get ready.
    """
    children = processes.Children(folder)
    try:
        yield await _start(children, servers)
    finally:
        await children.end_all()


async def _start(
    children: processes.Children, servers: list[int]
) -> WholeDaemon:
    store = await children.start(
        "object_api", sys.executable, "-m", "standins.object_api", read=True
    )
    port = (await store.read_line())["port"]
    pairs = {name: signing.KeyPair.generate() for name in OPERATORS}
    ports = files.DaemonPorts(*processes.free_ports(3))
    path = files.write(
        children.folder / "daemon.yaml", settings(ports, port, pairs)
    )
    program = str(processes.PROGRAMS / "banyantillerd")
    daemon = await children.start("daemon", program, path, read=False)
    await _roll(port, pairs, bundle(servers))
    await _wait_ready(ports.admin, daemon)
    return WholeDaemon(ports.callers, daemon.process.pid)


def settings(
    ports: files.DaemonPorts, object_api: int, pairs: dict[str, signing.KeyPair]
) -> dict[str, Any]:
    """Returns the daemon's settings: no peers and no VM list."""
    keys = tuple(
        files.Operator(name, pair.public, "") for name, pair in pairs.items()
    )
    platform = files.Platform(object_api, vm_list=0)
    value = files.daemon_settings(0, (ports,), platform, keys)
    del value["vm_list"]
    return value


def bundle(servers: list[int]) -> dict[str, Any]:
    """Returns the bundle: the service of `bench.overhead_roles`."""
    named = {f"server-{port}": port for port in servers}
    content = files.bundle(named, "The service of the bench.")
    (service,) = content["services"]
    service["slots"] = overhead_roles.SLOTS
    service["requests"] = [{"idempotent": True, "path": "/records"}]
    return content


async def _roll(
    port: int, pairs: dict[str, signing.KeyPair], content: dict[str, Any]
) -> None:
    trusted = tuple(
        defaults.TrustedKey(name, pair.public) for name, pair in pairs.items()
    )

    async def audit(action: str, detail: dict[str, Any]) -> str:
        del action, detail
        return ""

    ana, ben = (
        proposals.Operator(name, pair.private, trusted, audit, time.time)
        for name, pair in pairs.items()
    )
    api = defaults.ObjectApiSettings(defaults.Endpoint(files.ADDRESS, port))
    store = kubernetes.KubernetesStore.from_settings(api, files.DEPLOYMENT)
    parsed = parsing.parse(json.dumps(content), "bundle").bundle
    made = await proposals.propose(store, files.DEPLOYMENT, parsed, ana)
    await approval.sign(store, files.DEPLOYMENT, made.digest, ben)
    rolled = await acceptance.roll(store, files.DEPLOYMENT, made.digest, ana)
    await store.close()
    if not isinstance(rolled, outcomes.Rolled):
        raise processes.DemoError(acceptance.describe(rolled))


async def _wait_ready(admin: int, daemon: processes.Child) -> None:
    asked = client.HttpClient(files.ADDRESS, admin)
    loop = asyncio.get_running_loop()
    ends = loop.time() + READY_S
    while loop.time() < ends and daemon.process.returncode is None:
        outcome = await asked.request("GET", "/readyz", CALL_S)
        if isinstance(outcome, answers.Answered) and (
            outcome.response.status == 200
        ):
            return
        await asyncio.sleep(POLL_S)
    raise processes.DemoError(f"The daemon is not ready.\n{daemon.tail()}")
