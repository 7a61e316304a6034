"""Gateways that start with lost seeds refuse limited tenants for good."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stage_2

KEY = "k-3f9a17c2"
# Bounds of the site, beside those that all sites have.
BOUNDS = {
    "quotaWindowS": 5,
    "quotaTolerance": 0.1,
    "quotaSlack": 20,
    "warmupTolerance": 1.5,
    "configApplyS": 2.5,
    "drainS": 2.5,
    "ackS": 5,
    "catchUpS": 6,
}
SEED_LAG_S = 3
RECOVERY_S = 15
SEEDS = 3
GATEWAYS = 5
BEFORE_S = 6
AFTER_S = 30


class Consumers:
    """Consumers of one tenant, far below its limit.

    Attributes:
        sent: Times at which requests were sent, and whether they were served.
    """

    def __init__(self, stage: stage_2.Stage) -> None:
        self.stage = stage
        self.sent: list[tuple[float, bool]] = []

    async def run(self, gateways: list[stage_2.Gateway], for_s: float) -> None:
        """Sends a request every 0.1 s, to one gateway after the other."""
        until = time.monotonic() + for_s
        number = 0
        while time.monotonic() < until:
            gateway = gateways[number % len(gateways)]
            number += 1
            sent = time.monotonic()
            outcome = await self.stage.ask(
                gateway, "GET", "/feed/x", 1500, b"", {"Credential": KEY}
            )
            self.sent.append((sent, outcome.status == 200))
            await asyncio.sleep(0.1)

    def served(self, from_s: float, to_s: float) -> float:
        """Returns the share of the requests of a time that was served."""
        found = [good for sent, good in self.sent if from_s <= sent < to_s]
        return sum(found) / max(1, len(found))


async def play(stage: stage_2.Stage) -> list[str]:
    """Plays the case; returns how the rule was broken."""
    tenant = {
        "name": "radio-norte",
        "apiKeys": [KEY],
        "ratePerS": 50,
        "burst": 50,
        "priority": 1,
    }
    stage.write_manifest(
        [{"name": "feed", "prefix": "/feed/", "service": "feedsvc"}],
        ["feedsvc"],
        tenants=[tenant],
    )
    await stage.add_gateways(GATEWAYS, seeds=SEEDS)
    gateways = list(stage.gateways.values())
    for gateway in gateways:
        gateway.fields["bounds"].update(BOUNDS)
    for index in range(4):
        upstream = stage_2.Upstream(stage, f"i-{index}", "feedsvc", "a")
        await stage.add_upstream(upstream)
    await stage.start()
    await asyncio.sleep(3)
    consumers = Consumers(stage)
    rest = gateways[SEEDS:]
    start = time.monotonic()
    await consumers.run(rest, BEFORE_S)
    fault = time.monotonic()
    stage.record.add("all machines lose power")
    for gateway in gateways:
        gateway.send(signal.SIGKILL)
        gateway.process.wait()
    await asyncio.sleep(1)
    # Without trouble, all machines come back.
    back = rest if stage_2.trouble() else gateways
    for gateway in back:
        gateway.start()
    returned = time.monotonic()
    after = asyncio.ensure_future(consumers.run(rest, AFTER_S))
    await asyncio.sleep(SEED_LAG_S)
    # The platform names machines that run, in the settings of all of them.
    seeds = [one.fields["listen"]["control"] for one in back[:SEEDS]]
    for gateway in back:
        gateway.fields["seeds"] = seeds
        gateway.write_settings()
    stage.record.add(f"the settings now name the seeds {', '.join(seeds)}")
    await after
    before_share = consumers.served(start, fault)
    later = returned + RECOVERY_S
    after_share = consumers.served(later, later + AFTER_S)
    stage.record.add(
        f"served before: {before_share:.2f}; served from {RECOVERY_S} s after"
        f" the return: {after_share:.2f}"
    )
    if before_share < 0.25:
        raise stage_2.CannotRunError("too few were served before the fault")
    if after_share >= 0.25:
        return []
    return [f"{after_share:.2f} of the requests are served after the return"]


if __name__ == "__main__":
    stage_2.main(__file__, play)
