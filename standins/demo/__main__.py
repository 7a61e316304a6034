"""Runs the demonstration: `python -m standins.demo`."""

import asyncio
import json
import pathlib
import sys

import defopt

from standins.demo import callers, findings, fleet, running, traffic

STEP_SHARES = {"roll": 0.25, "server": 0.5, "daemon": 0.7}
FIRST_READY_S = 10.0


async def play(folder: pathlib.Path, seed: int) -> findings.Findings:
    """Runs all steps and returns what held."""
    system = fleet.Fleet(folder)
    try:
        running.say("starting the platform, 3 backend servers and 2 daemons")
        await system.start()
        running.say("rolling the first bundle")
        first_s = await system.roll(1, "The first bundle.")
        users = callers.Callers(system.gateways, seed)
        followers = [
            asyncio.ensure_future(gateway.follow_readiness())
            for gateway in system.gateways
        ]
        try:
            await _wait_until_ready(system)
            events = await _run_load(system, users, first_s, seed)
        finally:
            for follower in followers:
                follower.cancel()
            await asyncio.gather(*followers, return_exceptions=True)
        events.exits["daemon-1"] = await system.stop_daemon(0)
        counts = await system.read_counts()
        found = findings.judge(users, counts, events)
        object_api = await system.read_calls()
        print(findings.table(found, users.tally, counts, object_api))
        if not found.held:
            _show_logs(system)
        return found
    finally:
        await system.close()


async def _wait_until_ready(system: fleet.Fleet) -> None:
    async with asyncio.timeout(FIRST_READY_S):
        for gateway in system.gateways:
            await gateway.was_ready.wait()


async def _run_load(
    system: fleet.Fleet, users: callers.Callers, first_s: float, seed: int
) -> findings.Events:
    """Sends all calls while bundles, servers and daemons change."""
    arrivals = traffic.plan(seed, fleet.DAEMONS)
    length = arrivals[-1].at
    running.say(f"sending {len(arrivals)} calls over {length:.0f} s")
    loop = asyncio.get_running_loop()
    start = loop.time()
    exits: dict[str, int] = {}

    async def at(step: str) -> None:
        await asyncio.sleep(start + STEP_SHARES[step] * length - loop.time())

    async def roll() -> float:
        await at("roll")
        running.say("rolling the second bundle")
        return await system.roll(2, "The second bundle.")

    async def stop_server() -> None:
        await at("server")
        running.say("stopping server-3")
        exits["server-3"] = await system.stop_server("server-3")

    async def stop_daemon() -> None:
        await at("daemon")
        running.say("stopping daemon-2")
        exits["daemon-2"] = await system.stop_daemon(1)

    async with asyncio.TaskGroup() as group:
        group.create_task(traffic.send(users, arrivals))
        second = group.create_task(roll())
        group.create_task(stop_server())
        group.create_task(stop_daemon())
    return findings.Events((first_s, second.result()), exits)


def _show_logs(system: fleet.Fleet) -> None:
    for child in system.daemons:
        running.say(f"log of {child.name}:\n{child.tail()}")


def main(*, seed: int = 1) -> int:
    """Runs a fleet under load and checks it by its backend servers' counts.

    The last line of the output is JSON. The exit status is 0 only if
    everything held.

    Args:
        seed: Seed of arrivals and of choices.
    """
    found = running.run(play, seed)
    if found is None:
        return 1
    print(json.dumps(found.last_line))
    return 0 if found.held else 1


if __name__ == "__main__":
    sys.exit(defopt.run(main))
