"""Tests of a graceful end: nothing in flight is cut."""

import asyncio

from banyantiller.gateway import gateway as gateways
from banyantiller.tests.gateway import harness

GRACE_S = 6.0


class DrainingTest(harness.TestCase):
    def test_call_that_began_after_all_others_left_is_not_cut(self):
        async def body(place):
            for one in place.servers.values():
                one.work_s = 0.5
            caller = await harness.Caller.connect(place)
            caller.send("before")
            await caller.read()
            ending = asyncio.ensure_future(place.gateway.drain(GRACE_S))
            await asyncio.sleep(0.1)
            # The last connection closes, and a new one comes at the end of
            # the time in which new ones are taken.
            caller.close()
            await asyncio.sleep(gateways.LISTEN_ON_S - 0.2)
            answer = asyncio.ensure_future(place.request("late"))
            cut = await ending
            return cut, await answer

        cut, answer = self.play(body)
        self.assertEqual(0, cut)
        self.assertEqual(200, answer.status)

    def test_idle_connections_end_and_busy_ones_are_told_to_close(self):
        async def body(place):
            for one in place.servers.values():
                one.work_s = 0.5
            idle = await harness.Caller.connect(place)
            busy = await harness.Caller.connect(place)
            ending = asyncio.ensure_future(place.gateway.drain(GRACE_S))
            await asyncio.sleep(gateways.LISTEN_ON_S - 0.1)
            busy.send("a")
            nothing = await idle.read()
            answer = await busy.read()
            return nothing, answer, await ending

        nothing, answer, cut = self.play(body)
        self.assertIsNone(nothing)
        self.assertEqual(200, answer.status)
        self.assertEqual("close", answer.headers["connection"])
        self.assertEqual(0, cut)

    def test_call_that_never_ends_is_counted_as_cut(self):
        async def body(place):
            route = harness.route("file", "unsafe", "/file/", timeoutS=60)
            place.put_document([route])
            await asyncio.sleep(0.1)
            place.fault(mute=True)
            caller = await harness.Caller.connect(place)
            caller.send("a", "/file/x", "POST", deadline_ms=60000)
            await asyncio.sleep(0.1)
            return await place.gateway.drain(GRACE_S)

        self.assertEqual(1, self.play(body))
