"""Tests of draining: no call in flight is cut."""

import asyncio

from banyantiller.gateway import gateway as gateways
from banyantiller.tests.gateway import harness

DRAIN_S = 6.0


class DrainingTest(harness.TestCase):
    def test_call_after_all_connections_closed_is_not_cut(self):
        async def body(env):
            for server in env.servers.values():
                server.work_s = 0.5
            caller = await harness.Caller.connect(env)
            caller.send("before")
            await caller.read()
            drain_task = asyncio.ensure_future(env.gateway.drain(DRAIN_S))
            await asyncio.sleep(0.1)
            # The last connection closes, and a new one is opened just before
            # the gateway stops listening.
            caller.close()
            await asyncio.sleep(gateways.DRAIN_LISTEN_S - 0.2)
            answer = asyncio.ensure_future(env.request("late"))
            cut = await drain_task
            return cut, await answer

        cut, answer = self.play(body)
        self.assertEqual(0, cut)
        self.assertEqual(200, answer.status)

    def test_idle_connections_are_closed_and_busy_ones_get_connection_close(
        self,
    ):
        async def body(env):
            for server in env.servers.values():
                server.work_s = 0.5
            idle = await harness.Caller.connect(env)
            busy = await harness.Caller.connect(env)
            drain_task = asyncio.ensure_future(env.gateway.drain(DRAIN_S))
            await asyncio.sleep(gateways.DRAIN_LISTEN_S - 0.1)
            busy.send("a")
            idle_reply = await idle.read()
            answer = await busy.read()
            return idle_reply, answer, await drain_task

        idle_reply, answer, cut = self.play(body)
        self.assertIsNone(idle_reply)
        self.assertEqual(200, answer.status)
        self.assertEqual("close", answer.headers["connection"])
        self.assertEqual(0, cut)

    def test_call_in_flight_after_the_drain_time_is_counted_as_cut(self):
        async def body(env):
            route = harness.route("file", "unsafe", "/file/", timeoutS=60)
            env.put_document([route])
            await asyncio.sleep(0.1)
            env.fault(mute=True)
            caller = await harness.Caller.connect(env)
            caller.send("a", "/file/x", "POST", deadline_ms=60000)
            await asyncio.sleep(0.1)
            return await env.gateway.drain(DRAIN_S)

        self.assertEqual(1, self.play(body))
