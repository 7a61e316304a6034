"""Carries out the steps of a plan on the world."""

import asyncio
import itertools
import random
import signal
from collections.abc import Awaitable, Callable

from soak import callers, organisations, partitions, server_faults
from soak import plan as plans
from soak import record as records
from soak.gateways import Daemon
from soak.links import Link, Trouble
from soak.world import (
    SEEDS,
    STORE_CALL_S,
    World,
)
from standins import endless_server, platform_store

# Strongest of what varies with `Step.x`.
MOST_DELAY_S = 0.3
MOST_STORE_DELAY_S = 0.8
STORM = 5
STORM_PAUSE_S = 0.15
# Connections that wait at each daemon while all start.
WAITING = 12
# Longest age of a copy from which the store comes back, and how soon after that
# what it lacks is written again.
MOST_COPY_AGE_S = 3.0
WRITE_AGAIN_S = 0.3
# How long callers and the store's way are troubled after a loss of power: a
# daemon loads in 0.3 s, and in a second beside three others that load.
START_S = 1.5
# How often the soak looks whether it was itself held up, and what it takes for
# a fault of everything: a daemon takes a server for silent after 0.1 s.
LAG_PERIOD_S = 0.02
LAG_S = 0.06

# Longest time until a daemon learns that other relays are named.
MOST_SETTINGS_LAG_S = 3.0

Action = Callable[[World, plans.Step], Awaitable[None]]


async def play(world: World, steps: tuple[plans.Step, ...]) -> None:
    """Begins each step at its time and waits for the last one's end."""
    began = world.loop.time()
    running = []
    for step in steps:
        await asyncio.sleep(began + step.at_s - world.loop.time())
        running.append(asyncio.ensure_future(ACTIONS[step.kind](world, step)))
    await asyncio.gather(*running)


async def watch_lag(world: World) -> None:
    """Notes when this process could not keep up, as a fault of everything."""
    while True:
        began = world.loop.time()
        await asyncio.sleep(LAG_PERIOD_S)
        now = world.loop.time()
        if now - began > LAG_PERIOD_S + LAG_S:
            _note(world, began, records.LAG, None)


def _note(world: World, began: float, what: str, daemon: int | None) -> None:
    now = world.loop.time()
    world.seen.disturbances.append(
        records.Disturbance(began, now, what, daemon)
    )


def _daemon(world: World, step: plans.Step) -> Daemon:
    return world.daemons[step.target % len(world.daemons)]


# Processes.


async def pause_daemon(world: World, step: plans.Step) -> None:
    """Stops a process for a while; callers and peers see silence."""
    daemon = _daemon(world, step)
    began = world.loop.time()
    if not world.signal(daemon, signal.SIGSTOP):
        return
    await asyncio.sleep(step.for_s)
    world.signal(daemon, signal.SIGCONT)
    _note(world, began, records.PROCESS, daemon.number)


async def kill_daemon(world: World, step: plans.Step) -> None:
    """Kills a process and starts it again."""
    await _kill(world, _daemon(world, step), step.for_s)


async def kill_all_daemons(world: World, step: plans.Step) -> None:
    """Kills every process at once."""
    await asyncio.gather(
        *(_kill(world, daemon, step.for_s) for daemon in world.daemons)
    )


async def lose_power(world: World, step: plans.Step) -> None:
    """Kills every process; all start again at once, with callers waiting.

    The store's answers take their time meanwhile, so that daemons listen before
    they know a document.
    """
    began = world.loop.time()
    rng = random.Random(f"{step.at_s}-{step.x}")
    dark_s = step.for_s + START_S
    for daemon in world.daemons:
        daemon.callers.set(Trouble(waiting=True))
        daemon.store.set(Trouble(delay_s=MOST_DELAY_S * step.x))
    for daemon in world.daemons * WAITING:
        own = random.Random(rng.random())
        world.begin(callers.wait_for_start(world, daemon, own, dark_s))
    await asyncio.gather(
        *(_kill(world, daemon, step.for_s, True) for daemon in world.daemons)
    )
    await asyncio.sleep(began + dark_s - world.loop.time())
    for daemon in world.daemons:
        daemon.callers.set(Trouble())
        daemon.store.set(Trouble())
    _note(world, began, records.STORE_LINK, None)


async def _kill(
    world: World, daemon: Daemon, for_s: float, lets_wait: bool = False
) -> None:
    began = world.loop.time()
    child = daemon.child
    if child is None or not world.signal(daemon, signal.SIGKILL):
        return
    await child.process.wait()
    await asyncio.sleep(for_s)
    await world.start_daemon(daemon, lets_wait)
    _note(world, began, records.PROCESS, daemon.number)


async def restart_daemon(world: World, step: plans.Step) -> None:
    """Tells a process to end, as for a new release, and starts it again.

    Nothing may be lost by it; it excuses only that others are not served
    through the daemon.
    """
    daemon = _daemon(world, step)
    child = daemon.child
    if child is None or daemon.asked_at is not None:
        return
    began = world.loop.time()
    daemon.asked_at = world.loop.time()
    if not world.signal(daemon, signal.SIGTERM):
        return
    try:
        async with asyncio.timeout(world.seen.bounds.grace_s):
            await child.process.wait()
    except TimeoutError:
        _kill_late(world, daemon)
        await child.process.wait()
    await asyncio.sleep(step.for_s)
    await world.start_daemon(daemon)
    _note(world, began, records.RESTART, daemon.number)


def _kill_late(world: World, daemon: Daemon) -> None:
    """Kills a process that has not ended in time, and notes that."""
    assert daemon.asked_at is not None
    world.seen.exits.append(
        records.Exit(daemon.number, daemon.life, daemon.asked_at,
                     world.loop.time(), -signal.SIGKILL)
    )  # fmt: skip
    world.signal(daemon, signal.SIGKILL)


async def reload_daemon(world: World, step: plans.Step) -> None:
    """Writes the settings anew and tells the process to read them."""
    daemon = _daemon(world, step)
    world.write_settings(daemon)
    world.signal(daemon, signal.SIGHUP)


async def replace_relays(world: World, step: plans.Step) -> None:
    """Names other relays; each daemon learns of it by itself, some late.

    Those of before live on, or one or all of them are killed first and start
    again with the new settings.
    """
    rng = random.Random(f"{step.at_s}-{step.x}")
    lost = {"alive": 0, "lost one": 1, "lost all": SEEDS}[step.choice]
    kills = [
        asyncio.ensure_future(_kill(world, one, step.for_s))
        for one in (world.relays or world.daemons)[:lost]
    ]
    count = min(SEEDS, len(world.daemons))
    named = rng.sample(world.daemons, count)
    world.relays = named
    delays = sorted(
        (rng.uniform(0, MOST_SETTINGS_LAG_S), daemon.number)
        for daemon in world.daemons
    )
    began = world.loop.time()
    for delay_s, number in delays:
        await asyncio.sleep(began + delay_s - world.loop.time())
        # Another step may have named others in the meantime.
        world.write_settings(world.daemons[number])
    await asyncio.gather(*kills)


# Links.


async def trouble_callers(world: World, step: plans.Step) -> None:
    """Disturbs the link on which callers reach a daemon."""
    daemon = _daemon(world, step)
    await _trouble(world, step, daemon.callers, records.CALLER_LINK, daemon)


async def trouble_store(world: World, step: plans.Step) -> None:
    """Disturbs the link on which a daemon reaches the store."""
    daemon = _daemon(world, step)
    await _trouble(world, step, daemon.store, records.STORE_LINK, daemon)


async def trouble_control(world: World, step: plans.Step) -> None:
    """Disturbs the link on which others reach a daemon; excuses none."""
    daemon = _daemon(world, step)
    await _trouble(world, step, daemon.control, records.CONTROL_LINK, daemon)


async def trouble_server(world: World, step: plans.Step) -> None:
    """Disturbs the link on which daemons reach a server.

    It excuses only that daemons do not heed responses that it may have lost.
    """
    began = world.loop.time()
    link = world.places[step.target % len(world.places)].link
    await _apply_trouble(link, step)
    _note(world, began, records.SERVER_LINK, None)


async def _trouble(
    world: World, step: plans.Step, link: Link, what: str, daemon: Daemon
) -> None:
    began = world.loop.time()
    await _apply_trouble(link, step)
    _note(world, began, what, daemon.number)


async def _apply_trouble(link: Link, step: plans.Step) -> None:
    if step.choice == "reset":
        link.reset()
        return
    link.set(
        Trouble(
            delay_s=MOST_DELAY_S * step.x if step.choice == "delay" else 0.0,
            held_in=step.choice in ("held_in", "silent"),
            held_out=step.choice in ("held_out", "silent"),
            refused=step.choice == "refused",
        )
    )
    await asyncio.sleep(step.for_s)
    link.set(Trouble())


async def partition_daemons(world: World, step: plans.Step) -> None:
    """Partitions some daemons from all servers, all but one of them at most."""
    began = world.loop.time()
    count = 1 + int(step.x * (len(world.daemons) - 1))
    first = step.target % len(world.daemons)
    turned = world.daemons[first:] + world.daemons[:first]
    sources = [partitions.source_of(one.number) for one in turned[:count]]
    for place, source in itertools.product(world.places, sources):
        place.link.partition(source, step.choice)
    await asyncio.sleep(step.for_s)
    for place, source in itertools.product(world.places, sources):
        place.link.end_partition(source)
    for daemon in turned[:count]:
        _note(world, began, records.PARTITION, daemon.number)


# The store.


async def fail_store(world: World, step: plans.Step) -> None:
    """Lets the store fail for all daemons."""
    began = world.loop.time()
    faults = world.store.faults
    if step.choice == "slow":
        faults.slow = STORE_CALL_S + MOST_STORE_DELAY_S * step.x
    else:
        setattr(faults, step.choice, True)
    await asyncio.sleep(step.for_s)
    fresh = platform_store.Faults()
    setattr(faults, step.choice, getattr(fresh, step.choice))
    _note(world, began, records.STORE, None)


async def forget_history(world: World, step: plans.Step) -> None:
    """Lets the store drop its history."""
    del step
    began = world.loop.time()
    world.store.forget()
    _note(world, began, records.STORE, None)


async def caller_sends_without_end(world: World, step: plans.Step) -> None:
    """Lets a caller send a request without an end; excuses none."""
    pattern = endless_server.NO_REQUEST[step.choice]
    daemon = _daemon(world, step)
    await callers.send_without_end(world, daemon, pattern, step.for_s)


async def restore_store(world: World, step: plans.Step) -> None:
    """Lets the store go away and come back from a copy.

    What operators and servers wrote since the copy is written again.
    """
    world.store.save_copy()
    await asyncio.sleep(MOST_COPY_AGE_S * step.x)
    began = world.loop.time()
    world.store.faults.reset = True
    await asyncio.sleep(step.for_s)
    newest = world.store.objects
    world.store.restore()
    world.store.faults.reset = False
    await asyncio.sleep(WRITE_AGAIN_S)
    world.store.write_again(newest)
    _note(world, began, records.STORE, None)


async def change_document(world: World, step: plans.Step) -> None:
    """Puts one new version in force, or several in quick succession."""
    count = STORM if step.choice == "storm" else 1
    for _ in range(count):
        world.accept_document()
        await asyncio.sleep(STORM_PAUSE_S)


ACTIONS: dict[str, Action] = {
    "pause daemon": pause_daemon,
    "kill daemon": kill_daemon,
    "kill all daemons": kill_all_daemons,
    "power lost": lose_power,
    "restart daemon": restart_daemon,
    "reload daemon": reload_daemon,
    "relays replaced": replace_relays,
    "caller link": trouble_callers,
    "store link": trouble_store,
    "control link": trouble_control,
    "server link": trouble_server,
    "daemons partitioned": partition_daemons,
    "server fault": server_faults.fail_server,
    "server sends without end": server_faults.send_without_end,
    "caller sends without end": caller_sends_without_end,
    "server crash": server_faults.crash_server,
    "request ends servers": server_faults.end_servers,
    "server leaves": server_faults.server_leaves,
    "server names a limit": server_faults.name_limits,
    "server asks for a backoff": server_faults.ask_for_backoff,
    "server states its leaving": server_faults.state_leaving,
    "server starts again": server_faults.start_again,
    "server entry spoilt": server_faults.spoil_entries,
    "server address reused": server_faults.reuse_address,
    "zone evacuated": server_faults.evacuate_zone,
    "store": fail_store,
    "store forgets": forget_history,
    "store restored": restore_store,
    "document": change_document,
    "key removed": organisations.remove_key,
    "allowance exceeded": organisations.exceed_allowance,
}
