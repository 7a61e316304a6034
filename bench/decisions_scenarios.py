"""What happens to the servers in each scenario of `bench.decisions`."""

from collections.abc import Callable
from typing import NamedTuple

from banyantiller.routing import types

# Speeds of a server that shares its machine with others; 0.74 in the mean.
SHIFTS = (1.2, 1.0, 1.0, 0.7, 0.4, 0.15)
NOISE = (1.0,) * 7 + (0.5, 0.5, 0.2)


def steady(load):
    """Returns a load that stays the same."""
    return lambda _: load


def nothing(*_):
    """Leaves the servers alone."""


class Scenario(NamedTuple):
    """Load over capacity by the part of the run gone, and disturbances."""

    load: Callable[[float], float]
    disturb: Callable[..., None] = nothing


def slow_server(world, rng, seconds):
    """Slows one server after another tenfold, for 50 ms to 5 s each."""
    at = 0.05 * seconds
    while at < seconds:
        server = rng.choice(list(world.servers.values()))
        length = 0.05 * 100 ** rng.random()
        world.after(at, server.set_speed, 0.1)
        world.after(at + length, server.set_speed, 1.0)
        at += length + 0.1 + 0.4 * rng.random()


def noisy(world, rng, seconds):
    """Shifts each server's speed every 5 ms on average; 0.82 in the mean."""
    change_speeds(world, rng, seconds, NOISE, 200.0)


def shifting(world, rng, seconds):
    """Changes each server's speed five times a second on average."""
    change_speeds(world, rng, seconds, SHIFTS, 5.0)


def change_speeds(world, rng, seconds, speeds, rate):
    """Gives each server another speed so many times a second on average."""

    def shift(server):
        server.set_speed(rng.choice(speeds))
        if world.now < seconds:
            world.after(rng.expovariate(rate), shift, server)

    for server in world.servers.values():
        world.after(0.0, shift, server)


def warm_up(world, server, length):
    """Starts a server cold: a fifth of its speed, rising to all of it."""
    for step in range(5):
        speed = 0.2 * (step + 1)
        world.after(length * step / 4, server.set_speed, speed)


def rolling_restart(world, _, seconds):
    """Restarts each server in turn; one in four quarters of its time."""
    every = 0.85 * seconds / len(world.servers)
    for number, server in enumerate(list(world.servers.values())):
        world.after(
            0.1 * seconds + number * every, restart, world, server, every
        )


def restart(world, server, every):
    """Drains, is listed as leaving, refuses, and comes back cold."""

    def list_as(leaving):
        world.configure([server.state._replace(leaving=leaving)])

    def come_back():
        server.mode, server.draining = "up", False
        warm_up(world, server, every / 4)
        list_as(False)

    server.draining = True
    world.after(every / 4, list_as, True)
    world.after(every / 2, setattr, server, "mode", "refuse")
    world.after(every * 3 / 4, come_back)


def fail_fast(world, rng, seconds):
    """One server answers 503 at once for six tenths of the run."""
    server = rng.choice(list(world.servers.values()))
    world.after(0.2 * seconds, setattr, server, "mode", "failing")
    world.after(0.8 * seconds, setattr, server, "mode", "up")


def cold_start(world, _, seconds):
    """Adds two servers that take 2 s to warm up."""

    def add():
        for number in range(2):
            zone, slots = world.zones[number], world.service.slots
            state = types.ServerState(f"n{number}", zone, slots)
            world.configure([state])
            warm_up(world, world.servers[state.name], 2.0)

    world.after(0.3 * seconds, add)


def lost(world, rng, seconds):
    """A third of the servers falls silent for good, with what they run."""
    servers = list(world.servers.values())
    for server in rng.sample(servers, len(servers) // 3):
        world.after(0.4 * seconds, server.set_mode, "silent")


SCENARIOS = {
    "steady70": Scenario(steady(0.7)),
    "steady90": Scenario(steady(0.9)),
    "slow": Scenario(steady(0.7), slow_server),
    "noisy": Scenario(steady(0.6), noisy),
    "shifting": Scenario(steady(0.5), shifting),
    "restart": Scenario(steady(0.7), rolling_restart),
    "failfast": Scenario(steady(0.7), fail_fast),
    "cold": Scenario(steady(0.7), cold_start),
    "stale": Scenario(steady(0.7), lambda w, *_: setattr(w, "report_age", 0.5)),
    "lost": Scenario(steady(0.5), lost),
    "storm": Scenario(
        lambda part: 1.3 if 0.2 < part < 0.4 else 0.7,
        lambda w, *_: setattr(w, "resend", True),
    ),
}
