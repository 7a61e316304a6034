"""Tests requests to servers that reset connections when they are full."""

import asyncio

from banyantiller.gateway import types
from banyantiller.tests.gateway import harness

LAST_SLOT = types.Load(1, 0, 2, 1.0)


class FullServersTest(harness.TestCase):
    def chosen(self, load_sharing, path, method):
        """Returns who serves a request while one server is about to be idle.

        All servers have a single free slot; s2, which is never the first of
        several equal ones, is idle 5 ms later.
        """

        async def body(env):
            env.gateway.settings = env.gateway.settings._replace(
                load_sharing=load_sharing
            )
            await env.request("r", "/read/x")
            now = env.gateway.loop.time()
            env.gateway.chooser.placement.full_resets.record_reset(
                harness.SERVICE, LAST_SLOT, 0.001, 0.1, now
            )
            for one in env.servers.values():
                one.running = 1
            sent = asyncio.ensure_future(env.request("a", path, method))
            await asyncio.sleep(0.005)
            env.servers["s2"].running = 0
            reply = await sent
            sends = dict(env.gateway.chooser.placement.zone_sends)
            return reply.status, reply.body.decode().split()[-1], sends

        return {
            self.play(body, seed=seed)[1] for seed in range(1, 6)
        }, self.play(body)

    def test_request_that_may_not_run_twice_waits_for_an_idle_server(self):
        """Guards against resets after which it may or may not have run."""
        servers, (status, _, sends) = self.chosen("on", "/file/x", "POST")
        self.assertEqual({"s2"}, servers)
        self.assertEqual(200, status)
        self.assertEqual({(harness.SERVICE, "local"): 2}, sends)

    def test_others_take_last_slots(self):
        servers, _ = self.chosen("on", "/read/x", "GET")
        self.assertNotEqual({"s2"}, servers)

    def test_nothing_changes_without_load_sharing(self):
        servers, (_, _, sends) = self.chosen("off", "/file/x", "POST")
        self.assertNotEqual({"s2"}, servers)
        self.assertEqual({}, sends)
