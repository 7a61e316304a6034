"""Tests that servers get no more requests than the limits they name."""

import asyncio

from banyantiller.tests import base
from banyantiller.tests.gateway import limits_harness

PER_S = 1.5


class NamedLimitTest(base.TestCase):
    def play(self, script, **more):
        return self.run_paused(limits_harness.run_traffic(script, **more))

    def test_fleet_keeps_the_limit_that_one_server_names(self):
        async def script(env, fleet):
            env.servers["s0"].limit = str(PER_S)

        result = self.play(script)
        self.assertEqual({200}, set(result.statuses))
        self.assertLessEqual(
            result.max_in_window("s0", limits_harness.PROPAGATION_S),
            limits_harness.max_allowed(PER_S),
        )
        # The permitted rate is mostly used.
        times = [
            at
            for at in result.arrivals["s0"]
            if at >= limits_harness.PROPAGATION_S
        ]
        self.assertGreater(len(times) / 17, 0.5 * PER_S)

    def test_fleet_keeps_the_limits_that_all_servers_name(self):
        async def script(env, fleet):
            for server in env.servers.values():
                server.limit = "4"

        result = self.play(script, seconds=10.0)
        for name in result.arrivals:
            self.assertLessEqual(
                result.max_in_window(name, limits_harness.PROPAGATION_S),
                limits_harness.max_allowed(4),
            )

    def test_lowered_limit_is_kept(self):
        async def script(env, fleet):
            env.servers["s0"].limit = "6"
            await asyncio.sleep(8)
            env.servers["s0"].limit = str(PER_S)

        result = self.play(script)
        self.assertLessEqual(
            result.max_in_window("s0", 8 + limits_harness.PROPAGATION_S),
            limits_harness.max_allowed(PER_S),
        )

    def test_limit_is_kept_while_daemons_restart(self):
        async def script(env, fleet):
            env.servers["s0"].limit = str(PER_S)
            await asyncio.sleep(6)
            for number in range(3, len(fleet)):
                fleet[number].listener.close()
                await fleet[number].close()
                env.seed += 1
                await env.start_gateway(limits_harness.SEEDS, f"d{number}")
                fleet[number] = env.gateway
                await asyncio.sleep(2)

        result = self.play(script)
        self.assertLessEqual(
            result.max_in_window("s0", limits_harness.PROPAGATION_S),
            limits_harness.max_allowed(PER_S),
        )

    def test_server_gets_its_share_again_when_its_limit_ends(self):
        async def script(env, fleet):
            env.servers["s0"].limit = str(PER_S)
            await asyncio.sleep(8)
            env.servers["s0"].limit = ""

        result = self.play(script)
        before = [at for at in result.arrivals["s0"] if 3 <= at < 8]
        after = [at for at in result.arrivals["s0"] if 13 <= at < 18]
        self.assertGreater(len(after), 4 * len(before))

    def test_requests_beyond_all_limits_are_rejected_at_once_as_not_run(self):
        async def script(env, fleet):
            for server in env.servers.values():
                server.limit = "2"

        result = self.play(script, seconds=10.0)
        rejected = [
            response
            for at, response in result.responses
            if response.status == 503 and at >= limits_harness.PROPAGATION_S
        ]
        self.assertGreater(len(rejected), 100)
        arrived = sum(len(times) for times in result.arrivals.values())
        served = result.statuses.count(200)
        self.assertEqual(arrived, served)
        for response in rejected:
            self.assertGreater(float(response.headers["retry-after"]), 0)
            self.assertLessEqual(float(response.headers["retry-after"]), 1)
        late = [response for response in rejected if response.took_s > 0.05]
        self.assertLess(len(late), len(rejected) / 10)

    def test_daemon_that_starts_learns_limits_from_peers(self):
        known = []

        async def script(env, fleet):
            env.servers["s0"].limit = str(PER_S)
            await asyncio.sleep(6)
            env.seed += 1
            await env.start_gateway(limits_harness.SEEDS, "more")
            fleet.append(env.gateway)
            env.gateway.listener.close()
            await asyncio.sleep(1)
            known.append(env.gateway.server_limits.count_limited())

        self.play(script, seconds=8.0)
        self.assertEqual([1], known)

    def test_limit_reaches_all_daemons_soon(self):
        known = []

        async def script(env, fleet):
            env.servers["s0"].limit = str(PER_S)
            await asyncio.sleep(2.5)
            known.extend(one.server_limits.count_limited() for one in fleet)

        self.play(script, seconds=4.0, subscriber_count=8)
        self.assertEqual([1] * 11, known)
