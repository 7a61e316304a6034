"""Creates the components of a daemon and connects them."""

import asyncio
import random
from collections.abc import Callable

import structlog

from banyantiller import exceptions, plugins
from banyantiller.claims import arbiter
from banyantiller.config import defaults
from banyantiller.daemon import (
    admin_server,
    bundles,
    cut_calls,
    leaving_servers,
    suspect_requests,
)
from banyantiller.evidence import recorder as recording
from banyantiller.evidence import writer as writing
from banyantiller.kernel import core, events
from banyantiller.measuring import budget as budgeting
from banyantiller.membership import peers as peering
from banyantiller.proxy import proxy as proxying
from banyantiller.replica import replicator, state
from banyantiller.store import interface as store_interface
from banyantiller.telemetry import admin, metrics, tallies
from banyantiller.vmlist import interface as vm_interface

log = structlog.get_logger("banyantiller.daemon")

SEED_BITS = 64


class Daemon:
    """The components of one daemon.

    Attributes:
        settings: Settings in force.
        kernel: Runs the tasks and delivers events.
        draining: Whether the graceful shutdown has begun.
        wall: Returns wall-clock seconds.
    """

    def __init__(
        self,
        settings: defaults.Settings,
        registry: plugins.Registry,
        wall: Callable[[], float],
        seed: int,
    ) -> None:
        self.settings = settings
        self.registry = registry
        self.wall = wall
        self.kernel = core.Kernel(seed)
        self.draining = False
        self.counts = tallies.CallTallies()
        self.instruments = metrics.Metrics()
        self.store: store_interface.ObjectStore = registry.get(
            "object_api", settings.object_api.adapter
        )(settings.object_api, settings.deployment)
        self.vms = _create_vm_list(settings, registry)
        self.peers = peering.Peers.from_settings(
            settings, self.kernel, wall, seed
        )
        self.replicator = replicator.BundleReplicator.from_settings(
            settings,
            self.store,
            self.peers,
            self.kernel,
            wall,
            seed,
            _create_replica(settings),
        )
        self.claims = arbiter.StoreClaims.from_settings(
            self.store, settings.deployment, settings.daemon, wall
        )
        self.budget = budgeting.Budget.from_settings(
            self.store, settings.deployment, settings.daemon, wall
        )
        self.proxy = proxying.Proxy.from_settings(
            settings,
            self.kernel,
            _choose_routing(settings, registry),
            self.claims,
            self.budget.charger,
            wall,
            seed,
            registry.get("load_reader", settings.load_reader)(),
        )
        self.recorder = recording.Recorder.from_settings(
            settings, self.kernel, wall
        )
        self.writer = writing.Writer.from_settings(
            settings, self.store, self.recorder, wall, seed
        )
        self.admin = admin.Admin(self.readiness, self.state, self.instruments)
        self.admin_server = admin_server.AdminServer(
            self.admin, self.proxy.crash_detector.lift
        )

    @classmethod
    def from_settings(
        cls,
        settings: defaults.Settings,
        registry: plugins.Registry,
        wall: Callable[[], float],
    ) -> "Daemon":
        """Creates a daemon that is seeded by the system's random source.

        Args:
            settings: Validated settings.
            registry: Plug-ins that provide the adapters and the routing.
            wall: Returns wall-clock seconds.
        """
        seed = random.SystemRandom().getrandbits(SEED_BITS)
        return cls(settings, registry, wall, seed)

    async def start(self) -> None:
        """Connects the components and starts listeners and tasks.

        Raises:
            ConfigError: An address cannot be used.
        """
        try:
            await self._start()
        except OSError as error:
            raise exceptions.ConfigError(
                f"Cannot listen on an address: {error}."
            ) from error

    async def _start(self) -> None:
        metrics.add_calls(self.instruments, self.counts)
        metrics.add_in_flight(self.instruments, self.proxy.own_load)
        metrics.add_quarantine(
            self.instruments, self.proxy.crash_detector.count_quarantined
        )
        self.kernel.subscribe(events.CallFinished, self.counts.record)
        self.registry.connect(self.kernel)
        bundles.connect(self)
        endpoint = await self.admin_server.start(self.settings.admin)
        peer_endpoint = await self.peers.start()
        # The status page shows the names of tasks.
        self.kernel.start("spread", self.replicator.run)
        self.kernel.start("claims", self.claims.run)
        self.kernel.start("measuring", self.budget.run)
        self.kernel.start("evidence", self.writer.run)
        leaving_servers.start(self)
        suspect_requests.start(self)
        callers = await self.proxy.start()
        log.info(
            "daemon: started.",
            callers=callers.port,
            peers=peer_endpoint.port,
            admin=endpoint.port,
        )

    async def stop(self) -> int:
        """Drains calls, writes the last evidence and leaves the peers.

        Returns:
            Number of calls that were cut at the drain limit.
        """
        self.draining = True
        self.kernel.emit(events.DaemonDraining(self.wall()))
        log.info("daemon: draining.", in_flight=self.proxy.in_flight)
        drain = self.settings.drain
        cut = await self.proxy.drain(drain.grace_s, drain.limit_s)
        cut_calls.report(self)
        self.peers.leave()
        await self.kernel.stop()
        # Closing the proxy cuts calls and settles their claims.
        await self.proxy.close()
        await self.claims.drain()
        await self.writer.finish()
        await self.peers.close()
        await self.admin_server.close()
        await self.store.close()
        self.instruments.close()
        log.info("daemon: ended.", cut=cut)
        return cut

    def readiness(self) -> admin.Readiness:
        """Returns whether callers should be sent to this daemon."""
        if self.draining:
            return admin.Readiness(False, "the daemon is draining")
        if self.proxy.version == 0:
            return admin.Readiness(False, "no bundle is in force")
        if self.proxy.fenced:
            return admin.Readiness(False, "no object API and no peer answers")
        return admin.Readiness(True)

    def state(self) -> dict[str, object]:
        """Returns the daemon's state for the status page."""
        in_force = self.replicator.in_force
        return {
            "deployment": self.settings.deployment,
            "daemon": self.settings.daemon,
            "zone": self.settings.zone,
            "region": self.settings.region,
            "bundle": in_force.accepted.manifest.version if in_force else 0,
            "digest": in_force.digest if in_force else "",
            "in_flight": self.proxy.in_flight,
            "draining": self.draining,
            "isolated": self.replicator.isolated,
            "fenced": self.proxy.fenced,
            "members": sorted(
                entry.daemon for entry in self.peers.alive_members()
            ),
            "peer_traffic": vars(self.peers.traffic),
            "object_api_calls": dict(self.store.calls),
            "task_failures": dict(self.kernel.failures),
        }


def _create_vm_list(
    settings: defaults.Settings, registry: plugins.Registry
) -> vm_interface.VmList | None:
    if settings.vm_list is None:
        return None
    factory = registry.get("vm_list", settings.vm_list.adapter)
    return factory(settings.vm_list)


def _choose_routing(
    settings: defaults.Settings, registry: plugins.Registry
) -> plugins.Factory:
    factory = registry.get("routing", settings.routing)
    if not settings.trace_file:
        return factory
    from banyantiller.replay import recording

    return recording.record_to_files(factory, settings.trace_file)


def _create_replica(settings: defaults.Settings) -> state.Replica | None:
    if not settings.trace_file:
        return None
    from banyantiller.replay import replica_recording

    return replica_recording.create(
        settings, lambda: asyncio.get_running_loop().time()
    )
