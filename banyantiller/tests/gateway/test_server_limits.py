"""Tests that servers get no more than the limits that they name."""

import asyncio

from banyantiller.tests import base
from banyantiller.tests.gateway import limits_harness

PER_S = 1.5


class NamedLimitTest(base.TestCase):
    def play(self, script, **more):
        return self.run_paused(limits_harness.play(script, **more))

    def test_fleet_keeps_the_limit_that_one_server_names(self):
        async def script(place, fleet):
            place.servers["s0"].limit = str(PER_S)

        got = self.play(script)
        self.assertEqual({200}, set(got.statuses))
        self.assertLessEqual(
            got.max_in_window("s0", limits_harness.KNOWN_S),
            limits_harness.allowed(PER_S),
        )
        # What may be used is.
        times = [
            at for at in got.arrivals["s0"] if at >= limits_harness.KNOWN_S
        ]
        self.assertGreater(len(times) / 17, 0.5 * PER_S)

    def test_fleet_keeps_the_limits_that_all_servers_name(self):
        async def script(place, fleet):
            for server in place.servers.values():
                server.limit = "4"

        got = self.play(script, seconds=10.0)
        for name in got.arrivals:
            self.assertLessEqual(
                got.max_in_window(name, limits_harness.KNOWN_S),
                limits_harness.allowed(4),
            )

    def test_limit_that_falls_is_kept(self):
        async def script(place, fleet):
            place.servers["s0"].limit = "6"
            await asyncio.sleep(8)
            place.servers["s0"].limit = str(PER_S)

        got = self.play(script)
        self.assertLessEqual(
            got.max_in_window("s0", 8 + limits_harness.KNOWN_S),
            limits_harness.allowed(PER_S),
        )

    def test_limit_is_kept_while_daemons_are_started_again(self):
        async def script(place, fleet):
            place.servers["s0"].limit = str(PER_S)
            await asyncio.sleep(6)
            for number in range(3, len(fleet)):
                fleet[number].listener.close()
                await fleet[number].close()
                place.seed += 1
                await place.start_gateway(limits_harness.SEEDS, f"d{number}")
                fleet[number] = place.gateway
                await asyncio.sleep(2)

        got = self.play(script)
        self.assertLessEqual(
            got.max_in_window("s0", limits_harness.KNOWN_S),
            limits_harness.allowed(PER_S),
        )

    def test_server_gets_its_share_again_when_its_limit_ends(self):
        async def script(place, fleet):
            place.servers["s0"].limit = str(PER_S)
            await asyncio.sleep(8)
            place.servers["s0"].limit = ""

        got = self.play(script)
        before = [at for at in got.arrivals["s0"] if 3 <= at < 8]
        after = [at for at in got.arrivals["s0"] if 13 <= at < 18]
        self.assertGreater(len(after), 4 * len(before))

    def test_what_is_beyond_all_limits_is_refused_at_once_as_not_run(self):
        async def script(place, fleet):
            for server in place.servers.values():
                server.limit = "2"

        got = self.play(script, seconds=10.0)
        refused = [
            answer
            for at, answer in got.answers
            if answer.status == 503 and at >= limits_harness.KNOWN_S
        ]
        self.assertGreater(len(refused), 100)
        arrived = sum(len(times) for times in got.arrivals.values())
        served = got.statuses.count(200)
        self.assertEqual(arrived, served)
        for answer in refused:
            self.assertGreater(float(answer.headers["retry-after"]), 0)
            self.assertLessEqual(float(answer.headers["retry-after"]), 1)
        late = [answer for answer in refused if answer.took_s > 0.05]
        self.assertLess(len(late), len(refused) / 10)

    def test_daemon_that_starts_is_told_by_others(self):
        known = []

        async def script(place, fleet):
            place.servers["s0"].limit = str(PER_S)
            await asyncio.sleep(6)
            place.seed += 1
            await place.start_gateway(limits_harness.SEEDS, "more")
            fleet.append(place.gateway)
            place.gateway.listener.close()
            await asyncio.sleep(1)
            known.append(place.gateway.server_limits.count_limited())

        self.play(script, seconds=8.0)
        self.assertEqual([1], known)

    def test_limit_is_known_everywhere_soon(self):
        known = []

        async def script(place, fleet):
            place.servers["s0"].limit = str(PER_S)
            await asyncio.sleep(2.5)
            known.extend(one.server_limits.count_limited() for one in fleet)

        self.play(script, seconds=4.0, others=8)
        self.assertEqual([1] * 11, known)
