"""Tests services whose servers report no load, or not in each answer."""

import asyncio

from banyantiller.tests.gateway import harness


class MissingLoadTest(harness.TestCase):
    def test_one_answer_without_a_load_does_not_stop_probes(self):
        """Servers are still probed after one answer without a load.

        Guards against a daemon that treats a whole service as one without load
        reports, until it restarts, because one answer to a probe lacked the
        load. It then logs once that the servers report none, and probes no
        server in 10 requests.
        """

        async def body(env):
            env.servers["s0"].tells_load = False
            prober = env.gateway.prober
            entry = env.gateway.store_view.table.entries["s0"]
            prober.release(await prober.probe([entry], "/health"))
            env.servers["s0"].tells_load = True
            before = sum(one.asked for one in env.servers.values())
            for number in range(10):
                await env.request(f"a{number}")
            after = sum(one.asked for one in env.servers.values())
            return after - before

        self.assertGreater(self.play(body), 10)

    def test_servers_that_start_to_report_their_load_are_probed_again(self):
        """Servers are probed again once their responses report a load.

        Guards against a daemon that learned that the earlier release of a
        service reports no load, and ignores the load in each response of the
        later one. It then probes no server in 10 requests, after 10 others.
        """

        async def body(env):
            for one in env.servers.values():
                one.tells_load = False
            await env.request("first")
            for one in env.servers.values():
                one.tells_load = True
            for number in range(10):
                await env.request(f"a{number}")
            before = sum(one.asked for one in env.servers.values())
            for number in range(10):
                await env.request(f"b{number}")
            after = sum(one.asked for one in env.servers.values())
            return after - before

        self.assertGreater(self.play(body), 10)

    def test_server_without_a_load_is_not_probed_while_others_are(self):
        """Servers that report their load are probed, and only these.

        Guards against a daemon that treats all three servers alike if one of
        them reports no load, as during an upgrade. It then probes none of the
        three in 20 requests.
        """

        async def body(env):
            env.servers["s0"].tells_load = False
            for number in range(20):
                await env.request(f"a{number}")
            before = {name: one.asked for name, one in env.servers.items()}
            for number in range(20):
                await env.request(f"b{number}")
            return {
                name: one.asked > before[name]
                for name, one in env.servers.items()
            }

        self.assertEqual({"s0": False, "s1": True, "s2": True}, self.play(body))

    def test_servers_that_stop_reporting_their_load_are_not_probed(self):
        async def body(env):
            await env.request("first")
            for one in env.servers.values():
                one.tells_load = False
            for number in range(10):
                await env.request(f"a{number}")
            before = sum(one.asked for one in env.servers.values())
            calls = [env.request(f"b{number}") for number in range(6)]
            found = await asyncio.gather(*calls)
            after = sum(one.asked for one in env.servers.values())
            return [answer.status for answer in found], after - before

        self.assertEqual(([200] * 6, 0), self.play(body))
