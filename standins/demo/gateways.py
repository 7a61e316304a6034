"""Shows the gateway on a platform: `python -m standins.demo.gateways`.

Two gateway daemons as processes, the stand-in of the platform's store and
three servers that register, calls over kept connections; meanwhile a document
changes, the store is away, a server leaves and a daemon is told to end.
"""

import asyncio
import collections
import json
import pathlib
import random
import sys

import defopt
import h11

from banyantiller.http import server
from standins import platform_store, processes, registered_server, runner
from standins.demo import running

HOST = "desk.example"
CALLS = 600
# One call in so many must not be repeated.
FILING = 3
PAUSE_S = 0.01
STORE_AWAY_S = 2.0
SETTLE_S = 1.5
ASK_AGAIN_S = 0.1


class Scene:
    """Everything that runs.

    Attributes:
        store: Stand-in of the platform's store.
        servers: Servers by instance.
        ports: Ports of the daemons for callers.
        children: The daemons.
        tally: Answers by status.
        wrong: Answers that belong to another request, or none at all.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.store = platform_store.PlatformStore()
        self.http = server.HttpServer(self.store.handle, runner.LIMITS)
        self.servers: dict[str, registered_server.RegisteredServer] = {}
        self.ports: list[int] = []
        self.children = processes.Children(folder)
        self.tally: collections.Counter[int] = collections.Counter()
        self.wrong: list[str] = []

    async def start(self) -> None:
        """Starts the store, the servers and the daemons."""
        bound = await self.http.start(runner.ADDRESS, 0)
        self.put_document(1)
        for number in range(3):
            name = f"s{number}"
            one = registered_server.RegisteredServer(name, 8, 0.02)
            await one.start(runner.ADDRESS)
            self.servers[name] = one
            self.register(name, "ready")
        control = processes.free_ports(2)
        self.ports = processes.free_ports(2)
        for number in range(2):
            path = self.folder / f"gateway-{number}.yaml"
            path.write_text(self._settings(number, bound.port, control))
            await self.children.start(
                f"gateway-{number}",
                sys.executable,
                "-m",
                "banyantiller.gateway",
                str(path),
                read=False,
            )

    def _settings(self, number: int, store: int, control: list[int]) -> str:
        address = runner.ADDRESS
        return json.dumps(
            {
                "daemon": f"gateway-{number}",
                "zone": "zone-a",
                "callers": f"{address}:{self.ports[number]}",
                "ready": f"{address}:{processes.free_ports(1)[0]}",
                "store": f"{address}:{store}",
                "control": f"{address}:{control[number]}",
                "seeds": [f"{address}:{control[0]}"],
                "retry_extra": 240,
                "metrics_port": 0,
            }
        )

    def put_document(self, version: int) -> None:
        """Puts a version in force; each has a route of its own besides."""
        routes = [
            _route("read", "safe", "/read/"),
            _route("file", "unsafe", "/file/"),
            _route("new", "safe", f"/version-{version}/"),
        ]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 100000,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        }
        services = [{"name": "desk", "healthPath": "/health", "maxConns": 220}]
        self.store.put(
            "config",
            "main",
            {
                "version": version,
                "routes": routes,
                "services": services,
                "limits": limits,
            },
        )

    def register(self, name: str, state: str) -> None:
        """Writes a server's registration."""
        self.store.put(
            "servers",
            name,
            {
                "service": "desk",
                "address": f"{runner.ADDRESS}:{self.servers[name].port}",
                "zone": "zone-a",
                "maxConcurrency": self.servers[name].slots,
                "state": state,
                "warmupLeftS": 0,
            },
        )

    async def call(self, number: int, port: int) -> int:
        """Sends one request and notes its answer; 0 if there is none."""
        request_id = f"{port}-{number}"
        path, method = ("/file/x", "POST") if number % FILING == 0 else (
            "/read/x",
            "GET",
        )  # fmt: skip
        try:
            status, body = await _exchange(port, request_id, method, path)
        except (OSError, h11.RemoteProtocolError):
            return 0
        if status == 200 and not body.startswith(request_id.encode()):
            self.wrong.append(request_id)
        return status

    async def close(self) -> None:
        """Ends everything."""
        await self.children.end_all()
        for one in self.servers.values():
            one.stop()
        await self.http.close()


def _route(name: str, kind: str, prefix: str) -> dict[str, object]:
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutS": 2,
        "targetLatencyS": 0.5,
        "priority": 1,
        "service": "desk",
        "maxAttempts": 2,
    }


async def _exchange(
    port: int, request_id: str, method: str, path: str
) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection(runner.ADDRESS, port)
    codec = h11.Connection(h11.CLIENT)
    headers = [("host", HOST), ("attempt-id", request_id),
               ("deadline-ms", "2000"), ("content-length", "0")]  # fmt: skip
    request = h11.Request(method=method, target=path, headers=headers)
    try:
        writer.write(codec.send(request) + codec.send(h11.EndOfMessage()))
        status, body = 0, b""
        while True:
            event = codec.next_event()
            if event is h11.NEED_DATA:
                codec.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            else:
                return status, body
    finally:
        writer.transport.abort()


async def play(folder: pathlib.Path, seed: int) -> dict[str, object]:
    """Runs all steps and returns what held."""
    scene = Scene(folder)
    rng = random.Random(seed)
    try:
        await scene.start()
        await _until_served(scene)
        running.say(f"sending {CALLS} calls while things change")
        steps = asyncio.ensure_future(_change(scene))
        pending = []
        for number in range(CALLS):
            port = rng.choice(scene.ports)
            pending.append(asyncio.ensure_future(scene.call(number, port)))
            await asyncio.sleep(rng.expovariate(1 / PAUSE_S))
        scene.tally.update(await asyncio.gather(*pending))
        exit_status = await steps
        status, _ = await _exchange(scene.ports[0], "v-1", "GET", "/version-3/")
        twice = sum(
            count > 1
            for one in scene.servers.values()
            for request_id, count in one.ran.items()
            if int(request_id.rpartition("-")[2]) % FILING == 0
        )
        return {
            "calls": CALLS,
            "answers": {str(k): v for k, v in sorted(scene.tally.items())},
            "wrong": len(scene.wrong),
            "run_twice": twice,
            "new_version": status,
            "exit": exit_status,
            "held": not scene.wrong and not twice and status == 200
            and exit_status == 0 and scene.tally[0] == 0,
        }  # fmt: skip
    finally:
        await scene.close()


async def _until_served(scene: Scene) -> None:
    tries = int(processes.START_S / ASK_AGAIN_S)
    for port in scene.ports:
        for _ in range(tries):
            if await scene.call(1, port) == 200:
                break
            await asyncio.sleep(ASK_AGAIN_S)
        else:
            raise processes.DemoError(f"No daemon serves on port {port}.")


async def _change(scene: Scene) -> int:
    """Changes things one after the other; returns a daemon's exit status."""
    await asyncio.sleep(0.5)
    running.say("the store goes away for 2 s; a document changes after it")
    scene.store.faults.down = True
    await asyncio.sleep(STORE_AWAY_S)
    scene.store.faults.down = False
    scene.put_document(3)
    running.say("server s0 leaves")
    scene.register("s0", "draining")
    await asyncio.sleep(SETTLE_S)
    running.say("gateway-1 is told to end")
    # As the platform does, callers are sent elsewhere from then on.
    scene.ports = scene.ports[:1]
    return await scene.children.running[1].end()


def main(*, seed: int = 1) -> int:
    """Runs two gateway daemons under load and checks what they did.

    The last line of the output is JSON. The exit status is 0 only if
    everything held.

    Args:
        seed: Seed of arrivals and of choices.
    """
    found = running.run(play, seed)
    if found is None:
        return 1
    print(json.dumps(found))
    return 0 if found["held"] else 1


if __name__ == "__main__":
    sys.exit(defopt.run(main))
