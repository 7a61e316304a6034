"""Carries out the steps of a plan that concern servers and their zones."""

import asyncio
import random

from soak import callers, contents
from soak import plan as plans
from soak import record as records
from soak.contents import SERVICES
from soak.world import STAYS_S, ZONES, Place, World

# Kind of the objects that name evacuated zones.
EVACUATIONS = "evacuations"
# Strongest of what varies with `Step.x`.
MOST_SLOWNESS = 900
LEAST_RETRY_AFTER_S = 0.5
RETRY_AFTER_RANGE_S = 4.0
# How long a server stays that states its leaving while its registration says
# that it is ready. Longer than a daemon may send to it once it knows.
STATED_STAYS_S = 5.0
LEAST_LIMIT_PER_S = 0.5
MOST_LIMIT_PER_S = 2.0
# How often the soak looks whether a server that names a limit is still there.
LIMIT_STEP_S = 0.05
# An address is given to another service after this time at the earliest.
REUSE_S = 2.0


async def fail_server(world: World, step: plans.Step) -> None:
    """Lets a server do something wrong for a while."""
    server = world.places[step.target % len(world.places)].server
    if server is None:
        return
    if step.choice == "slow":
        server.slowness = 100 + int(MOST_SLOWNESS * step.x)
    else:
        setattr(server.faults, step.choice, True)
    await asyncio.sleep(step.for_s)
    server.slowness = 100
    if step.choice != "slow":
        setattr(server.faults, step.choice, False)


async def send_without_end(world: World, step: plans.Step) -> None:
    """Lets a server send bytes without end in place of answers."""
    server = world.places[step.target % len(world.places)].server
    if server is None:
        return
    server.faults.endless = step.choice
    await asyncio.sleep(step.for_s)
    server.faults.endless = ""


async def crash_server(world: World, step: plans.Step) -> None:
    """Ends a server without notice; another start takes its place."""
    number = step.target % len(world.places)
    if _crash(world, world.places[number]):
        await asyncio.sleep(step.for_s)
        await world.start_server(number)


async def name_limits(world: World, step: plans.Step) -> None:
    """Lets a server, or all of its service, name a limit for a while.

    One that names a limit already keeps that one.
    """
    place = world.places[step.target % len(world.places)]
    named = [place]
    if step.choice == "all":
        named = [one for one in world.places if one.service == place.service]
    per_s = round(LEAST_LIMIT_PER_S + MOST_LIMIT_PER_S * step.x, 1)
    until = world.loop.time() + step.for_s
    await asyncio.gather(
        *(_name_limit(world, one, per_s, until) for one in named)
    )


async def _name_limit(
    world: World, place: Place, per_s: float, until: float
) -> None:
    """Lets a server name a limit until a loop time, or until it is gone."""
    server = place.server
    if server is None or server.limit:
        return
    server.limit = str(per_s)
    began = ended = world.loop.time()
    # Another start may have the same identity.
    while place.server is server and ended < until:
        ended = world.loop.time()
        await asyncio.sleep(LIMIT_STEP_S)
    server.limit = ""
    limit = records.NamedLimit(server.instance, per_s, began, ended)
    world.seen.limits.append(limit)


async def ask_for_backoff(world: World, step: plans.Step) -> None:
    """Lets a server, or all of its service, refuse with `Retry-After`."""
    place = world.places[step.target % len(world.places)]
    places = [place]
    if step.choice == "all":
        places = [one for one in world.places if one.service == place.service]
    refusing = [one.server for one in places if one.server is not None]
    retry_after_s = LEAST_RETRY_AFTER_S + RETRY_AFTER_RANGE_S * step.x
    for server in refusing:
        server.retry_after = f"{retry_after_s:.3f}"
        server.faults.shed = True
    await asyncio.sleep(step.for_s)
    for server in refusing:
        server.retry_after = ""
        server.faults.shed = False


async def state_leaving(world: World, step: plans.Step) -> None:
    """Lets a server state its leaving in responses; its registration stays."""
    number = step.target % len(world.places)
    place = world.places[number]
    server, place.server = place.server, None
    if server is None:
        return
    server.leaving = True
    world.seen.stated_leavings.append(
        records.StatedLeaving(world.loop.time(), server.instance)
    )
    await asyncio.sleep(STATED_STAYS_S)
    server.stop()
    world.store.remove("servers", server.instance)
    await world.start_server(number)


def ending_path(step: plans.Step) -> str:
    """Returns the path of a step's request; steps may begin together."""
    return f"{contents.ENDING_PREFIX}{step.at_s}-{step.x}"


async def end_servers(world: World, step: plans.Step) -> None:
    """Sends a request that ends each server which runs it, for a while."""
    path = ending_path(step)
    rng = random.Random(f"{step.at_s}-{step.x}")
    await callers.repeat(world, path, rng, step.for_s)


def _crash(world: World, place: Place) -> bool:
    """Ends a place's server at once; False if there is none."""
    server, place.server = place.server, None
    if server is None:
        return False
    server.stop()
    world.begin(world.remove_later(server.instance))
    return True


async def start_again(world: World, step: plans.Step) -> None:
    """Ends a server without notice; it starts again as the same one."""
    number = step.target % len(world.places)
    place = world.places[number]
    server, place.server = place.server, None
    if server is not None:
        server.stop()
        await asyncio.sleep(step.for_s)
        await world.start_server(number, server.instance)


async def spoil_entries(world: World, step: plans.Step) -> None:
    """Spoils a server's registration for a while, and adds a spoilt one."""
    place = world.places[step.target % len(world.places)]
    content = contents.spoilt(step.choice)
    world.store.put("servers", f"foreign-{step.target}", content)
    server = place.server
    if server is None:
        return
    world.store.put("servers", server.instance, content)
    await asyncio.sleep(step.for_s)
    if place.server is server:
        world.register(place, "ready")


async def server_leaves(world: World, step: plans.Step) -> None:
    """Takes a server away in good order, or without telling beforehand."""
    number = step.target % len(world.places)
    place = world.places[number]
    server = place.server
    if server is None:
        return
    if step.choice == "told":
        world.register(place, "draining")
    else:
        world.store.remove("servers", server.instance)
    world.seen.leavings.append(
        records.Leaving(world.loop.time(), server.instance)
    )
    place.server = None
    await asyncio.sleep(STAYS_S)
    server.stop()
    world.store.remove("servers", server.instance)
    await world.start_server(number)


async def reuse_address(world: World, step: plans.Step) -> None:
    """Ends a server and gives its address to one of another service."""
    number = step.target % len(world.places)
    place = world.places[number]
    if _crash(world, place):
        await asyncio.sleep(REUSE_S)
        others = [name for name in SERVICES if name != place.service]
        place.service = others[0]
        await world.start_server(number)


async def evacuate_zone(world: World, step: plans.Step) -> None:
    """Evacuates an availability zone for a while."""
    zone = ZONES[step.target % len(ZONES)]
    if zone in world.store.objects.get(EVACUATIONS, {}):
        return
    world.store.put(EVACUATIONS, zone, {"at": step.at_s})
    began = world.loop.time()
    await asyncio.sleep(step.for_s)
    # A request that arrives while it is given back counts for neither.
    ended = world.loop.time()
    world.store.remove(EVACUATIONS, zone)
    world.seen.evacuations.append(records.Evacuation(zone, began, ended))
