"""Everything that runs: daemons as processes, servers, store, links."""

import asyncio
import contextlib
import functools
import json
import os
import pathlib
import signal
import sys
import time
from collections.abc import Callable

from banyantiller.gateway import early_listening
from banyantiller.http import client, outcomes, server
from soak import contents, gateways, partitions
from soak import plan as plans
from soak import record as records
from soak.links import Link
from standins import platform_store, processes, registered_server, runner

ZONES = ("zone-a", "zone-b")
SLOTS = 4
WORK_S = 0.02
# Registrations of a dead server are removed after three missed heartbeats.
HEARTBEATS_MISSED_S = 4.5
# How long a server goes on serving after it has told that it leaves.
STAYS_S = 3.0
SEEDS = 3
# The platform asks once a second.
READY_PERIOD_S = 1.0
STORE_CALL_S = 0.004
# A server that a request has ended is back after so long.
DOWN_S = 1.5


class Place:
    """A registered server and the link on which daemons reach it.

    Attributes:
        service: Its service.
        zone: Its availability zone.
        server: The running server, or None.
        started_ms: When the latest server was started, in Unix milliseconds.
    """

    def __init__(self, service: str, zone: str, link: Link) -> None:
        self.service = service
        self.zone = zone
        self.link = link
        self.server: registered_server.RegisteredServer | None = None
        self.started_ms = 0


OrganisationsOf = Callable[[int], list[dict[str, object]]]


class World:
    """The system of one run.

    Attributes:
        settings: Settings of every daemon besides.
        seen: What the checks read.
        store: Stand-in of the platform's store.
        daemons: Gateways.
        relays: Gateways that settings name as relays; empty for the first ones.
        places: Servers that callers' requests reach.
        all_servers: Every start of a server.
        version: Newest version of the document.
        organisations: Returns the organisations of a document by the number of
            keys that were taken away, or None if callers need no keys.
        removed_keys: Number of keys that were taken away.
        tasks: Work that goes on by itself.
        all_ready: Set once every daemon was ready at the same time.
        ports: Ports of the daemons, once they are taken.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        sizes: plans.Sizes,
        settings: dict[str, object] | None = None,
    ) -> None:
        self.folder = folder
        self.settings = settings or {}
        self.sizes = sizes
        self.loop = asyncio.get_running_loop()
        self.seen = records.Record()
        self.store = platform_store.PlatformStore()
        self.http = server.HttpServer(self.store.handle, runner.LIMITS)
        self.children = processes.Children(folder)
        self.daemons: list[gateways.Daemon] = []
        self.relays: list[gateways.Daemon] = []
        self.places: list[Place] = []
        self.all_servers: list[registered_server.RegisteredServer] = []
        self.version = 0
        self.organisations: OrganisationsOf | None = None
        self.removed_keys = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.all_ready = asyncio.Event()
        self.ports: gateways.Ports | None = None

    async def start(self) -> None:
        """Starts everything and returns once every daemon is ready."""
        bound = await self.http.start(runner.ADDRESS, 0)
        self.accept_document()
        for number in range(2 * self.sizes.servers):
            link = await Link.to(runner.ADDRESS, 0)
            service = contents.SERVICES[number % len(contents.SERVICES)]
            zone = ZONES[number // len(contents.SERVICES) % len(ZONES)]
            self.places.append(Place(service, zone, link))
            await self.start_server(number)
        self.ports = gateways.Ports.take(3 * self.sizes.daemons)
        ports = self.ports.numbers
        for number in range(self.sizes.daemons):
            daemon = gateways.Daemon(number, ports[3 * number : 3 * number + 3])
            daemon.callers = await Link.to(runner.ADDRESS, daemon.callers_port)
            daemon.control = await Link.to(runner.ADDRESS, daemon.control_port)
            daemon.store = await Link.to(runner.ADDRESS, bound.port)
            self.daemons.append(daemon)
        await asyncio.gather(*(self.start_daemon(d) for d in self.daemons))
        self.begin(self._follow_readiness())
        async with asyncio.timeout(processes.START_S):
            await self.all_ready.wait()

    async def close(self) -> None:
        """Ends everything that was started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for daemon in self.daemons:
            if daemon.watcher is not None:
                daemon.watcher.cancel()
            self.signal(daemon, signal.SIGCONT)
        await self.children.end_all()
        for one in self.all_servers:
            one.stop()
        for place in self.places:
            await place.link.close()
        for daemon in self.daemons:
            for link in (daemon.callers, daemon.store, daemon.control):
                await link.close()
        await self.http.close()
        if self.ports is not None:
            self.ports.give_back()

    def begin(self, work) -> None:
        """Lets work go on by itself; an error of it ends the run."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.loop.call_exception_handler(
                {
                    "message": "soak: a task failed",
                    "exception": task.exception(),
                }
            )

    # The document and the registrations.

    def accept_document(self) -> None:
        """Puts the next version in force; it has a route of its own."""
        self.version += 1
        content = contents.document(self.version, self.sizes.routes)
        if self.organisations is not None:
            content["tenants"] = self.organisations(self.removed_keys)
        self.store.put("config", "main", content)
        self.seen.acceptances.append(
            records.Acceptance(self.loop.time(), self.version)
        )

    async def start_server(self, number: int, instance: str = "") -> None:
        """Starts a server at a place and registers it.

        Args:
            number: The place.
            instance: Identity that it had before; another one if empty.
        """
        place = self.places[number]
        if not instance:
            instance = f"{place.service}-{number}-{len(self.all_servers)}"
        one = registered_server.RegisteredServer(instance, SLOTS, WORK_S)
        one.faults.ended_by = contents.ENDING_PREFIX
        one.on_end = functools.partial(self._server_ended, number, one)
        await one.start(runner.ADDRESS)
        place.server = one
        place.started_ms = int(time.time() * 1000)
        place.link.target = one.port
        self.all_servers.append(one)
        self.register(place, "ready")

    async def remove_later(self, instance: str) -> None:
        """Removes the registration of a server that sends no heartbeats."""
        await asyncio.sleep(HEARTBEATS_MISSED_S)
        self.store.remove("servers", instance)

    def _server_ended(
        self, number: int, one: registered_server.RegisteredServer
    ) -> None:
        """A request has ended a server; another start takes its place."""
        place = self.places[number]
        if place.server is not one:
            return
        place.server = None
        # A relay that takes connections for it would hide its end.
        place.link.shut()
        targets = [arrival.target for arrival in one.arrivals]
        target = next(
            one
            for one in reversed(targets)
            if one.startswith(contents.ENDING_PREFIX)
        )
        self.seen.ends.append(records.ServerEnd(self.loop.time(), target))
        self.begin(self.remove_later(one.instance))
        self.begin(self._start_again(number))

    async def _start_again(self, number: int) -> None:
        await asyncio.sleep(DOWN_S)
        await self.places[number].link.open()
        if self.places[number].server is None:
            await self.start_server(number)

    def register(self, place: Place, state: str) -> None:
        """Writes the registration of a place's server."""
        assert place.server is not None
        address = f"{runner.ADDRESS}:{place.link.port}"
        zone = place.zone
        content = contents.registration(
            place.service, address, zone, SLOTS, state, place.started_ms
        )
        self.seen.zones[place.server.instance] = zone
        self.store.put("servers", place.server.instance, content)

    # The daemons.

    async def start_daemon(
        self, daemon: gateways.Daemon, lets_wait: bool = False
    ) -> None:
        """Starts a daemon's process; nothing if it is up or being started.

        Args:
            daemon: The daemon.
            lets_wait: Whether it is told what it needs to let callers wait
                while it loads, if no other daemon lives.
        """
        if daemon.child is not None or daemon.starting:
            return
        daemon.starting = True
        daemon.life += 1
        daemon.asked_at = None
        name = f"gateway-{daemon.number}"
        path = self.write_settings(daemon)
        daemon.child = await self.children.start(
            f"{name}-{daemon.life}",
            sys.executable,
            "-m",
            "banyantiller.gateway",
            str(path),
            read=False,
            env=os.environ | (self._early(daemon) if lets_wait else {}),
        )
        daemon.starting = False
        daemon.watcher = asyncio.ensure_future(self._watch(daemon))

    def _early(self, daemon: gateways.Daemon) -> dict[str, str]:
        """Returns the environment of a daemon that may listen early."""
        # The daemons' own ports: a link takes connections when its daemon is
        # down as well.
        others = [f"{runner.ADDRESS}:{one.control_port}"
                  for one in self.daemons[:SEEDS]]  # fmt: skip
        return {
            early_listening.LISTEN_VARIABLE: (
                f"{runner.ADDRESS}:{daemon.callers_port}"
            ),
            early_listening.PEERS_VARIABLE: ",".join(others),
        }

    def write_settings(self, daemon: gateways.Daemon) -> pathlib.Path:
        """Writes a daemon's settings file and returns its path."""
        address = runner.ADDRESS
        # A daemon knows itself among the seeds by its own address.
        seeds = [
            one.control_port if one is daemon else one.control.port
            for one in self.relays or self.daemons[:SEEDS]
        ]
        content = {
            "daemon": f"gateway-{daemon.number}",
            "zone": ZONES[daemon.number % len(ZONES)],
            "callers": f"{address}:{daemon.callers_port}",
            "ready": f"{address}:{daemon.ready_port}",
            "store": f"{address}:{daemon.store.port}",
            "control": f"{address}:{daemon.control_port}",
            "server_source": partitions.source_of(daemon.number),
            "seeds": [f"{address}:{port}" for port in seeds],
            "drain_s": self.seen.bounds.grace_s,
            "retry_ratio": self.seen.bounds.retry_ratio,
            "retry_extra": self.seen.bounds.retry_extra,
            "retry_window_s": self.seen.bounds.window_s,
            "metrics_port": 0,
        }
        path = self.folder / f"gateway-{daemon.number}.yaml"
        # In one step, as the daemon may read it at any moment.
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(content | self.settings))
        return fresh.replace(path)

    def signal(self, daemon: gateways.Daemon, number: signal.Signals) -> bool:
        """Sends a signal to a daemon's process; False if it is down."""
        return daemon.child is not None and daemon.child.signal(number)

    async def _watch(self, daemon: gateways.Daemon) -> None:
        """Notes the end of a daemon's process."""
        child = daemon.child
        assert child is not None
        life = daemon.life
        status = await child.process.wait()
        now = self.loop.time()
        daemon.child = None
        if status != -signal.SIGKILL:
            self.seen.exits.append(
                records.Exit(
                    daemon.number,
                    life,
                    daemon.asked_at,
                    now,
                    status,
                    gateways.STARTED in child.log.read_text(errors="replace"),
                )
            )

    async def _follow_readiness(self) -> None:
        """Does what the platform's balancer does."""
        users = [
            client.HttpClient(runner.ADDRESS, daemon.ready_port)
            for daemon in self.daemons
        ]
        try:
            while True:
                ready = await asyncio.gather(*(_is_ready(u) for u in users))
                for daemon, good in zip(self.daemons, ready, strict=True):
                    daemon.misses = 0 if good else daemon.misses + 1
                if all(ready):
                    self.all_ready.set()
                await asyncio.sleep(READY_PERIOD_S)
        finally:
            for user in users:
                with contextlib.suppress(OSError):
                    await user.close()

    # After the run.

    def collect(self) -> records.Record:
        """Returns what was seen, with what servers and logs tell."""
        for attempt in self.seen.attempts:
            if not attempt.ended_at:
                # Its caller was stopped with the run.
                attempt.end = records.LEFT
                attempt.ended_at = self.loop.time()
        for start, one in enumerate(self.all_servers):
            self.seen.arrivals.extend(
                records.Arrival(
                    arrival.at,
                    arrival.request_id,
                    one.instance,
                    arrival.refusal == 0,
                    arrival.refusal == 421,
                    arrival.target,
                    float(arrival.retry_after or 0),
                    start,
                    partitions.daemon_at(arrival.source),
                    arrival.organisation,
                    arrival.shows_key,
                )
                for arrival in one.arrivals
            )
        for child in self.children.running:
            self.seen.log_errors.extend(gateways.errors_of(child))
        return self.seen


async def _is_ready(user: client.HttpClient) -> bool:
    found = await user.request("GET", "/api/readiness", READY_PERIOD_S)
    return isinstance(found, outcomes.Answered) and found.response.status == 200
