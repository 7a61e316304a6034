"""Tests of requests that end each server which runs them.

Callers saw their requests fail on servers that ended, over and over.
"""

import asyncio

from banyantiller.tests import base
from banyantiller.tests.gateway import ending_world, world

# It is known to all within this time of the third server that ended under it.
KNOWN_WITHIN_S = 3.0
# How often it may still reach servers after that, in the whole fleet.
MOST_LATER = 3
PLAYED_S = 15.0
# How often it comes, each time at the next daemon.
EACH_S = 0.12
# What others send meanwhile, and which part of it is to be served in the end.
OTHERS_EACH_S = 0.05
SERVED = 0.95
LAST_S = 5.0


class EndingTest(base.TestCase):
    """Plays fleets in which a request ends servers."""

    def play(self, body, ended_by=ending_world.DEADLY):
        """Runs `body(fleet)` in a fleet of its own."""

        async def whole():
            async with world.World() as place:
                alone = place.gateway
                fleet = ending_world.Fleet(place, ended_by)
                try:
                    await fleet.start()
                    return await body(fleet)
                finally:
                    await fleet.close()
                    place.gateway = alone

        return self.run_paused(whole())

    async def repeat(self, fleet, *arguments, for_s=PLAYED_S, each_s=EACH_S):
        """Sends a request again and again; returns what its caller got."""
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        answers = []
        while loop.time() < until:
            daemon = fleet.daemons[len(answers) % len(fleet.daemons)]
            answers.append(fleet.begin(fleet.ask(daemon, *arguments)))
            await asyncio.sleep(each_s)
        return await asyncio.gather(*answers)

    async def others(self, fleet, for_s=PLAYED_S):
        """Sends other requests, each once; returns statuses of the last."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        answers = []
        while loop.time() < began + for_s:
            daemon = fleet.daemons[len(answers) % len(fleet.daemons)]
            path = f"/read/other-{len(answers)}"
            answers.append(fleet.begin(fleet.ask(daemon, path)))
            await asyncio.sleep(OTHERS_EACH_S)
        last = answers[-int(LAST_S / OTHERS_EACH_S) :]
        return [answer.status for answer in await asyncio.gather(*last)]

    def check_later(self, fleet, target):
        """Checks what reached servers once all daemons have to know."""
        since = fleet.ends[2].at + KNOWN_WITHIN_S
        self.assertLessEqual(fleet.arrivals(target, since), MOST_LATER)


class RepeatedRequestTest(EndingTest):
    """A request that ends servers comes again at any daemon."""

    def test_it_reaches_servers_three_times_more_at_most(self):
        async def body(fleet):
            deadly = fleet.begin(self.repeat(fleet, ending_world.DEADLY))
            statuses = await self.others(fleet)
            await deadly
            self.check_later(fleet, ending_world.DEADLY)
            served = statuses.count(200) / len(statuses)
            self.assertGreaterEqual(served, SERVED)

        self.play(body)

    def test_it_is_refused_as_not_run(self):
        async def body(fleet):
            await self.repeat(fleet, ending_world.DEADLY, for_s=6.0)
            # With servers free, so that it is not refused for want of one.
            await asyncio.sleep(ending_world.LAPSE_S)
            daemon = fleet.daemons[0]
            answer = await fleet.ask(daemon, ending_world.DEADLY)
            self.assertEqual(503, answer.status)
            self.assertEqual(b"quarantined\n", answer.body)
            self.assertEqual("no", answer.headers["request-ran"])
            self.assertIn("retry-after", answer.headers)
            self.assertLess(answer.took_s, 0.05)

        self.play(body)

    def test_one_with_a_body_that_may_not_run_twice(self):
        arguments = (ending_world.DEADLY_POST, "POST", b"deadly" * 5000)

        async def body(fleet):
            await self.repeat(fleet, *arguments)
            self.check_later(fleet, ending_world.DEADLY_POST)

        self.play(body, ending_world.DEADLY_POST)

    def test_a_daemon_that_starts_later_knows(self):
        async def body(fleet):
            await self.repeat(fleet, ending_world.DEADLY, for_s=4.0)
            late = await fleet.add_daemon()
            await asyncio.sleep(KNOWN_WITHIN_S)
            ended = len(fleet.ends)
            await fleet.ask(late, ending_world.DEADLY)
            self.assertEqual(ended, len(fleet.ends))

        self.play(body)
