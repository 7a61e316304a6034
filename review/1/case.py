"""Another writer's entry stands among the servers; then all processes die."""

import asyncio
import os
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

import harness

SERVICE = "registry"
MACHINES = 4
UPSTREAMS = 8
WORK_S = 0.06
DEADLINE_MS = 500
CONSUMERS = 8
PAUSE_S = 0.2
# A field of another type: lists in lists. The entry has 2.5 KB.
DEPTH = 1200
SERVING_S = 4.0
DOWN_S = 0.5
RECOVERY_S = harness.BOUNDS["recoveryS"]
JUDGED_S = 5.0
# Of the rule: less than a quarter is served, a quarter or more was before.
SHARE = 0.25
# 0 leaves the entry out and keeps the kill, to see which of them matters.
ENTRY = os.environ.get("ENTRY", "1") != "0"


def foreign_entry() -> dict:
    """Returns an entry of another writer: a field has another type."""
    value: list = []
    for _ in range(DEPTH):
        value = [value]
    return {
        "service": SERVICE,
        "address": "127.0.0.1:9",
        "zone": "plateau",
        "version": "v1",
        "maxConcurrency": 2,
        "state": "ready",
        "warmupLeftS": value,
        "sequence": 1,
    }


class Case:
    """A few machines, all of which are killed once."""

    def __init__(self, record: harness.Record) -> None:
        self.record = record
        self.ready: set[int] = set()
        self.names = harness.ids("c")
        # Time of sending and status of each request; 0 for no answer.
        self.results: list[tuple[float, int]] = []
        self.fleet: harness.Fleet | None = None

    async def run(self) -> str:
        """Returns what broke the rule, or an empty text."""
        store = harness.Store()
        address = await store.start("127.0.0.1")
        routes = [harness.route("orders", "/orders/", "safe", SERVICE, 2, 0.2)]
        store.put("config", "main", harness.manifest(7, routes, [SERVICE]))
        for _ in range(UPSTREAMS):
            one = harness.Upstream(self.record, SERVICE, 2, lambda _: WORK_S)
            await one.start("127.0.0.1")
            store.put("servers", one.instance, one.entry("plateau"))
        self.fleet = harness.Fleet(self.record, MACHINES, address)
        try:
            await self._start_all()
            await self.fleet.wait_ready()
            return await self._play(store)
        finally:
            await self.fleet.close()

    async def _start_all(self) -> None:
        for gateway in self.fleet.gateways:
            await self.fleet.start(gateway)

    async def _play(self, store: harness.Store) -> str:
        tasks = [asyncio.create_task(self._ask_readiness())]
        tasks += [
            asyncio.create_task(self._consume()) for _ in range(CONSUMERS)
        ]
        await asyncio.sleep(SERVING_S)
        if harness.TROUBLE and ENTRY:
            self.record.write(f"another writer's entry, depth {DEPTH}")
            store.put("servers", "i-0ther0ne", foreign_entry())
        await asyncio.sleep(SERVING_S)
        fault_at = self.record.now()
        if harness.TROUBLE:
            for gateway in self.fleet.gateways:
                self.fleet.signal(gateway, signal.SIGKILL)
            for gateway in self.fleet.gateways:
                await gateway.process.wait()
            await asyncio.sleep(DOWN_S)
            await self._start_all()
        back_at = self.record.now()
        await asyncio.sleep(RECOVERY_S + JUDGED_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return self._judge(fault_at, back_at)

    async def _ask_readiness(self) -> None:
        """Takes machines in and out as the platform does."""
        misses: dict[int, int] = {}
        while True:
            for gateway in self.fleet.gateways:
                number = gateway.number
                good = await harness.is_ready(gateway)
                misses[number] = 0 if good else misses.get(number, 0) + 1
                if misses[number] == 0:
                    self.ready.add(number)
                elif misses[number] >= 2:
                    self.ready.discard(number)
            self.record.write(f"in rotation: {sorted(self.ready)}")
            await asyncio.sleep(1)

    async def _consume(self) -> None:
        """Sends requests, each on a new connection to a machine."""
        while True:
            gateways = self.fleet.gateways
            used = [one for one in gateways if one.number in self.ready]
            # If too few machines are in rotation, the platform uses all.
            if len(used) < len(gateways) / 2:
                used = gateways
            gateway = random.choice(used)
            name = next(self.names)
            sent_at = self.record.now()
            self.record.write(f"{name} sent to edge-{gateway.number}")
            status = await self._request(gateway, name)
            self.record.write(f"{name} answered {status or 'not'}")
            self.results.append((sent_at, status))
            await asyncio.sleep(PAUSE_S)

    async def _request(self, gateway: harness.Gateway, name: str) -> int:
        try:
            reader, writer = await harness.connect(gateway)
        except OSError:
            return 0
        data = harness.encode_request("GET", "/orders/a", name, DEADLINE_MS)
        try:
            writer.write(data)
            async with asyncio.timeout(DEADLINE_MS / 1000):
                message = await harness.read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        finally:
            writer.transport.abort()
        return int(message[0].split(" ")[1]) if message else 0

    def _judge(self, fault_at: float, back_at: float) -> str:
        before = [s for at, s in self.results if at < fault_at]
        from_s = back_at + RECOVERY_S
        after = [s for at, s in self.results if at > from_s]
        if not before or not after:
            raise RuntimeError("nothing was sent")
        before_share = before.count(200) / len(before)
        after_share = after.count(200) / len(after)
        self.record.write(
            f"served before the fault: {before.count(200)} of {len(before)};"
            f" later than {RECOVERY_S} s after the machines were back:"
            f" {after.count(200)} of {len(after)}"
        )
        if before_share >= SHARE > after_share:
            return f"RECOVER: {after.count(200)} of {len(after)} served"
        return ""


if __name__ == "__main__":
    harness.main(
        lambda record: Case(record).run(),
        str(pathlib.Path(__file__).parent),
        100,
    )
