"""Tests of cold servers, and of an availability zone that comes back."""

import asyncio
import random

from banyantiller.tests import base
from banyantiller.tests.gateway import harness

RELAY_PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in RELAY_PORTS)
SUBSCRIBER_COUNT = 7
COLD_RATE_PER_S = 2.1
# A cold server crashes at more requests in a second: 1.5 times the rate that it
# states, and eight more.
MAX_PER_S = 11
WARMUP_S = 3.0
# Callers that wait at each daemon when the zone comes back.
WAITING_CALLERS = 6
BURST_S = 0.4


def max_in_a_second(times):
    """Returns the maximum number of requests in any second."""
    return max(
        (sum(begin <= at < begin + 1 for at in times) for begin in times),
        default=0,
    )


class OneDaemonTest(harness.TestCase):
    """A daemon that can't count its peers uses a small share of the rate."""

    def play(self, body, share=1 / 24):
        async def with_cold_rate(env):
            env.put_document(cold_per_s=COLD_RATE_PER_S)
            env.gateway.share = lambda: share
            env.gateway.min_recent_share = env.gateway.share
            await asyncio.sleep(0.2)
            return await body(env)

        return super().play(with_cold_rate)

    def arrivals(self, env, name="s0"):
        """Returns the times at which requests reached a server."""
        return [arrival.at for arrival in env.servers[name].arrivals]

    async def send_many(self, env, count=40, gap_s=0.05):
        """Sends requests; returns their statuses."""
        tasks = []
        for number in range(count):
            tasks.append(asyncio.ensure_future(env.request(f"r{number}")))
            await asyncio.sleep(gap_s)
        return [(await task).status for task in tasks]

    def test_cold_server_gets_its_rate_from_a_lone_daemon(self):
        async def body(env):
            env.servers["s0"].cool_down(WARMUP_S)
            for name in ("s1", "s2"):
                env.servers[name].running = 9
            await self.send_many(env)
            return self.arrivals(env)

        times = self.play(body, share=1.0)
        self.assertGreater(len(times), 1)
        self.assertLessEqual(max_in_a_second(times), 3)

    def test_daemon_without_a_share_sends_and_probes_nothing(self):
        async def body(env):
            for name in ("s1", "s2"):
                env.servers[name].slots = 40
            env.servers["s0"].cool_down(WARMUP_S)
            statuses = await self.send_many(env)
            one = env.servers["s0"]
            return set(statuses), len(one.arrivals), one.asked < 4

        self.assertEqual(({200}, 0, True), self.play(body, share=0.0))

    def test_cold_server_is_found_while_all_others_are_full(self):
        async def body(env):
            env.servers["s0"].cool_down(WARMUP_S)
            for name in ("s1", "s2"):
                env.servers[name].running = 9
            await env.request("first")
            for number in range(3, 12):
                one = await env.add_server(f"s{number}")
                one.running = 9
            await asyncio.sleep(1)
            before = env.gateway.prober.probe_count
            answer = await env.request("r")
            return answer.status, env.gateway.prober.probe_count - before

        status, asked = self.play(body, share=1.0)
        self.assertEqual(200, status)
        self.assertLessEqual(asked, 6)

    def test_server_that_is_warm_again_gets_requests(self):
        async def body(env):
            env.servers["s0"].cool_down(0.5)
            await self.send_many(env)
            return len(self.arrivals(env))

        self.assertGreater(self.play(body, share=0.0), 3)

    def test_server_that_registers_cold_and_reports_no_load(self):
        async def body(env):
            for one in env.servers.values():
                one.tells_load = False
            env.servers["s0"].cool_down(WARMUP_S)
            env.register("s0", warmupLeftS=WARMUP_S)
            for name in ("s1", "s2"):
                env.store.remove("servers", name)
            await asyncio.sleep(0.1)
            await self.send_many(env)
            return len(self.arrivals(env))

        self.assertEqual(0, self.play(body, share=0.0))

    def test_service_without_a_stated_rate_is_served_as_before(self):
        async def body(env):
            env.put_document()
            for one in env.servers.values():
                one.cool_down(WARMUP_S)
            await asyncio.sleep(0.1)
            return set(await self.send_many(env, gap_s=0.1))

        self.assertEqual({200}, self.play(body, share=0.0))


class ZoneReturnsTest(base.TestCase):
    """A zone comes back cold while all other servers are full."""

    def play(self, seed):
        """Returns when requests reached each server of the zone."""

        async def run_fleet():
            async with harness.GatewayHarness(seed) as env:
                env.put_document(cold_per_s=COLD_RATE_PER_S)
                daemons = [env.gateway]
                for number in range(SUBSCRIBER_COUNT + len(RELAY_PORTS)):
                    port = (
                        RELAY_PORTS[number] if number < len(RELAY_PORTS) else 0
                    )
                    env.seed += 1
                    await env.start_gateway(
                        SEEDS, f"more{number}", port, retry_window_s=1.0
                    )
                    daemons.append(env.gateway)
                # Shares apply after daemons were counted for a window.
                await asyncio.sleep(4.5)
                try:
                    return await self.restore_zone(env, daemons[1:], seed)
                finally:
                    for one in daemons[:-1]:
                        one.listener.close()
                        await one.close()

        return self.run_paused(run_fleet())

    async def restore_zone(self, env, daemons, seed):
        """Fills all servers but one, which is cold, and sends a burst."""
        for name in ("s0", "s1"):
            env.servers[name].running = 9
        env.servers["s2"].slots = 3
        env.servers["s2"].cool_down(WARMUP_S)
        rng = random.Random(seed)
        began = asyncio.get_running_loop().time()
        tasks = []
        for daemon in daemons:
            port = daemon.listener.sockets[0].getsockname()[1]
            tasks += [
                asyncio.ensure_future(
                    self.send_repeatedly(env, port, number, rng)
                )
                for number in range(WAITING_CALLERS)
            ]
        await asyncio.gather(*tasks)
        return [arrival.at - began for arrival in env.servers["s2"].arrivals]

    async def send_repeatedly(self, env, port, number, rng):
        """Sends one request after the other until the burst is over."""
        loop = asyncio.get_running_loop()
        until = loop.time() + BURST_S
        await asyncio.sleep(rng.uniform(0, 0.02))
        while loop.time() < until:
            env.port = port
            await env.request(f"{port}-{number}-{loop.time()}")
            await asyncio.sleep(0.05)

    def test_fleet_with_waiting_calls_does_not_crash_a_cold_server(self):
        times = self.play(1)
        self.assertGreater(len(times), 0)
        self.assertLessEqual(max_in_a_second(times), MAX_PER_S)
