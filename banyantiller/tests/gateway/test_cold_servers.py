"""Tests of servers that are cold, and replay of a zone that comes back."""

import asyncio
import random

from banyantiller.tests import base
from banyantiller.tests.gateway import harness

PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in PORTS)
OTHERS = 7
PER_S = 2.1
# What ends a cold server: half as much again as it states and eight more.
MOST = 11
WARMUP_S = 3.0
# Callers that wait at each daemon when the zone comes back.
WAITING = 6
BURST_S = 0.4


def most_in_a_second(times):
    """Returns the most requests that any second has."""
    return max(
        (sum(begin <= at < begin + 1 for at in times) for begin in times),
        default=0,
    )


class OneDaemonTest(harness.TestCase):
    """A daemon that can't count others takes a small part."""

    def play(self, body, share=1 / 24):
        async def cold(place):
            place.put_document(cold_per_s=PER_S)
            place.gateway.share = lambda: share
            place.gateway.min_recent_share = place.gateway.share
            await asyncio.sleep(0.2)
            return await body(place)

        return super().play(cold)

    def arrivals(self, place, name="s0"):
        """Returns the times at which requests reached a server."""
        return [arrival.at for arrival in place.servers[name].arrivals]

    async def send_many(self, place, count=40, gap_s=0.05):
        """Sends requests; returns their statuses."""
        tasks = []
        for number in range(count):
            tasks.append(asyncio.ensure_future(place.request(f"r{number}")))
            await asyncio.sleep(gap_s)
        return [(await task).status for task in tasks]

    def test_cold_server_gets_its_rate_from_a_lone_daemon(self):
        async def body(place):
            place.servers["s0"].cool_down(WARMUP_S)
            for name in ("s1", "s2"):
                place.servers[name].running = 9
            await self.send_many(place)
            return self.arrivals(place)

        times = self.play(body, share=1.0)
        self.assertGreater(len(times), 1)
        self.assertLessEqual(most_in_a_second(times), 3)

    def test_daemon_without_a_part_sends_and_asks_nothing(self):
        async def body(place):
            for name in ("s1", "s2"):
                place.servers[name].slots = 40
            place.servers["s0"].cool_down(WARMUP_S)
            statuses = await self.send_many(place)
            one = place.servers["s0"]
            return set(statuses), len(one.arrivals), one.asked < 4

        self.assertEqual(({200}, 0, True), self.play(body, share=0.0))

    def test_cold_server_is_found_while_all_others_are_full(self):
        async def body(place):
            place.servers["s0"].cool_down(WARMUP_S)
            for name in ("s1", "s2"):
                place.servers[name].running = 9
            await place.request("first")
            for number in range(3, 12):
                one = await place.add_server(f"s{number}")
                one.running = 9
            await asyncio.sleep(1)
            before = place.gateway.prober.probe_count
            answer = await place.request("r")
            return answer.status, place.gateway.prober.probe_count - before

        status, asked = self.play(body, share=1.0)
        self.assertEqual(200, status)
        self.assertLessEqual(asked, 6)

    def test_server_that_is_warm_again_gets_requests(self):
        async def body(place):
            place.servers["s0"].cool_down(0.5)
            await self.send_many(place)
            return len(self.arrivals(place))

        self.assertGreater(self.play(body, share=0.0), 3)

    def test_server_that_registers_cold_and_tells_no_load(self):
        async def body(place):
            for one in place.servers.values():
                one.tells_load = False
            place.servers["s0"].cool_down(WARMUP_S)
            place.register("s0", warmupLeftS=WARMUP_S)
            for name in ("s1", "s2"):
                place.store.remove("servers", name)
            await asyncio.sleep(0.1)
            await self.send_many(place)
            return len(self.arrivals(place))

        self.assertEqual(0, self.play(body, share=0.0))

    def test_service_without_a_stated_rate_is_served_as_before(self):
        async def body(place):
            place.put_document()
            for one in place.servers.values():
                one.cool_down(WARMUP_S)
            await asyncio.sleep(0.1)
            return set(await self.send_many(place, gap_s=0.1))

        self.assertEqual({200}, self.play(body, share=0.0))


class ZoneReturnsTest(base.TestCase):
    """A zone is back, cold, while all other servers are full."""

    def play(self, seed):
        """Returns when requests reached each server of the zone."""

        async def whole():
            async with harness.GatewayHarness(seed) as place:
                place.put_document(cold_per_s=PER_S)
                daemons = [place.gateway]
                for number in range(OTHERS + len(PORTS)):
                    port = PORTS[number] if number < len(PORTS) else 0
                    place.seed += 1
                    await place.start_gateway(
                        SEEDS, f"more{number}", port, retry_window_s=1.0
                    )
                    daemons.append(place.gateway)
                # Shares count once daemons were counted for a window.
                await asyncio.sleep(4.5)
                try:
                    return await self.return_of_zone(place, daemons[1:], seed)
                finally:
                    for one in daemons[:-1]:
                        one.listener.close()
                        await one.close()

        return self.run_paused(whole())

    async def return_of_zone(self, place, daemons, seed):
        """Fills all servers but one, which comes back, and sends a burst."""
        for name in ("s0", "s1"):
            place.servers[name].running = 9
        place.servers["s2"].slots = 3
        place.servers["s2"].cool_down(WARMUP_S)
        rng = random.Random(seed)
        began = asyncio.get_running_loop().time()
        tasks = []
        for daemon in daemons:
            port = daemon.listener.sockets[0].getsockname()[1]
            tasks += [
                asyncio.ensure_future(self.wait(place, port, number, rng))
                for number in range(WAITING)
            ]
        await asyncio.gather(*tasks)
        return [arrival.at - began for arrival in place.servers["s2"].arrivals]

    async def wait(self, place, port, number, rng):
        """Sends one request after the other for a while."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + BURST_S
        await asyncio.sleep(rng.uniform(0, 0.02))
        while loop.time() < ends:
            place.port = port
            await place.request(f"{port}-{number}-{loop.time()}")
            await asyncio.sleep(0.05)

    def test_fleet_that_waits_does_not_end_a_cold_server(self):
        times = self.play(1)
        self.assertGreater(len(times), 0)
        self.assertLessEqual(most_in_a_second(times), MOST)
