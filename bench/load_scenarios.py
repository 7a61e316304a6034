"""What happens to the fleet while `bench.load` sends."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from bench import decisions_scenarios
from bench.load_fleet import Fleet, Plan
from bench.load_processes import Server

SLOW_FACTOR = 10.0
WARM_UP = 0.1
AWAY_S = 0.5
DEAD_S = 2.0
BETWEEN_S = 1.0
PAUSES_S = (0.3, 4.0)


async def nothing(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Leaves the fleet alone."""
    del fleet, rng, seconds


async def slow_server(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """One server at a time is ten times slower, for 50 ms to 5 s."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + seconds
    await asyncio.sleep(WARM_UP * seconds)
    while loop.time() < ends:
        server = rng.choice(fleet.servers)
        length = 0.05 * 100 ** rng.random()
        await server.set_slow(SLOW_FACTOR)
        await asyncio.sleep(length)
        await server.set_slow(1.0)
        await asyncio.sleep(0.1 + 0.4 * rng.random())


async def restart(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Restarts all servers one by one, then all daemons.

    Goes on until all are done, if need be longer than the calls.
    """
    del rng
    await asyncio.sleep(min(WARM_UP * seconds, BETWEEN_S))
    for server in fleet.servers:
        await _restart_server(fleet, server)
    for daemon in fleet.daemons:
        await daemon.stop()
        await daemon.start()
        await daemon.wait_alive()
        await daemon.wait_ready()
        await asyncio.sleep(BETWEEN_S)


async def _restart_server(fleet: Fleet, server: Server) -> None:
    """Lists it as leaving, lets it drain and end, starts it and lists it."""
    await fleet.set_vm(server.name, "leaving")
    await server.stop()
    await asyncio.sleep(AWAY_S)
    await server.start()
    await fleet.set_vm(server.name, "live")


async def kill(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Kills a daemon, then a server, in turn; each comes back."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + 0.85 * seconds
    await asyncio.sleep(WARM_UP * seconds)
    while loop.time() < ends:
        daemon = rng.choice(fleet.daemons)
        await daemon.kill()
        await asyncio.sleep(DEAD_S)
        await daemon.start()
        await daemon.wait_ready()
        await asyncio.sleep(BETWEEN_S)
        server = rng.choice(fleet.servers)
        await server.kill()
        await asyncio.sleep(DEAD_S)
        await server.start()
        await asyncio.sleep(BETWEEN_S)


async def pause(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Stops a daemon, then a server, for a while, and lets it go on."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + 0.85 * seconds
    await asyncio.sleep(WARM_UP * seconds)
    while loop.time() < ends:
        for paused in (rng.choice(fleet.daemons), rng.choice(fleet.servers)):
            paused.child.signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(*PAUSES_S))
            paused.child.signal(signal.SIGCONT)
            await asyncio.sleep(BETWEEN_S)


class Scenario(NamedTuple):
    """One case.

    Attributes:
        disturb: Changes the fleet while calls are sent.
        like: What `bench.decisions` does to compare with, or None.
        graceful: Whether a cut answer is a fault.
    """

    disturb: Callable[[Fleet, random.Random, float], Awaitable[None]]
    like: Callable[..., None] | None
    graceful: bool = True


SCENARIOS = {
    "steady": Scenario(nothing, decisions_scenarios.nothing),
    "slow-server": Scenario(slow_server, decisions_scenarios.slow_server),
    "restart": Scenario(restart, decisions_scenarios.rolling_restart),
    "kill": Scenario(kill, None, graceful=False),
    "pause": Scenario(pause, None, graceful=False),
}


class Case(NamedTuple):
    """One run.

    Attributes:
        name: Name of the scenario.
        plan: What is started.
        rate: Calls per second.
        seconds: How long calls are sent.
    """

    name: str
    plan: Plan
    rate: float
    seconds: float

    @property
    def scenario(self) -> Scenario:
        """What happens meanwhile."""
        return SCENARIOS[self.name]
