"""Tests that a server that states its shutdown gets no later requests."""

import asyncio

from banyantiller.http import messages
from banyantiller.tests.gateway import harness

LEAVING = (("server-leaving", "1"),)


async def send_requests(env, count=20, name="r"):
    """Sends requests one after the other, and returns the status codes."""
    statuses = []
    for number in range(count):
        statuses.append((await env.request(f"{name}{number}")).status)
        await asyncio.sleep(0.02)
    return statuses


def remove_other_servers(env, name):
    """Leaves one server registered, so that every request goes to it."""
    for other in set(env.servers) - {name}:
        env.store.remove("servers", other)


def record_response(env, server, status, headers):
    """Records a response as if a server had just sent it."""
    env.gateway.response_recorders.to_request(
        server, messages.Response(status, headers), env.gateway.loop.time()
    )


def registered(env, name="s0"):
    """Returns a server's registration as the gateway knows it."""
    return env.gateway.store_view.table.entries[name].server


class LeavingResponseTest(harness.TestCase):
    def test_server_gets_no_requests_after_it_stated_leaving_in_a_response(
        self,
    ):
        async def body(env):
            server = env.servers["s0"]
            # A server that tells no load is not probed.
            server.tells_load = False
            remove_other_servers(env, "s0")
            await asyncio.sleep(0.5)
            await env.request("before")
            server.leaving = True
            return await send_requests(env), len(server.arrivals)

        self.assertEqual(([200] + [503] * 19, 2), self.play(body))

    def test_server_that_stated_leaving_to_a_probe_gets_no_requests(self):
        async def body(env):
            server = env.servers["s0"]
            server.leaving = True
            remove_other_servers(env, "s0")
            await asyncio.sleep(0.5)
            return set(await send_requests(env)), server.arrivals

        self.assertEqual(({503}, []), self.play(body))

    def test_other_servers_take_over(self):
        async def body(env):
            env.servers["s0"].leaving = True
            statuses = await send_requests(env)
            count = len(env.servers["s0"].arrivals)
            return set(statuses), count

        self.assertEqual(({200}, 0), self.play(body))

    def test_registration_that_says_ready_does_not_bring_it_back(self):
        async def body(env):
            record_response(env, registered(env), 200, LEAVING)
            env.register("s0", sequence=7, maxConcurrency=3)
            await asyncio.sleep(0.5)
            changed = registered(env).leaving
            env.store.remove("servers", "s0")
            await asyncio.sleep(1)
            env.register("s0")
            await asyncio.sleep(1)
            return changed, registered(env).leaving

        self.assertEqual((True, True), self.play(body))

    def test_response_after_the_registration_was_removed_counts(self):
        async def body(env):
            server = registered(env)
            env.store.remove("servers", "s0")
            await asyncio.sleep(0.5)
            record_response(env, server, 200, LEAVING)
            env.register("s0")
            await asyncio.sleep(0.5)
            return registered(env).leaving

        self.assertTrue(self.play(body))

    def test_response_of_an_earlier_incarnation_does_not_count(self):
        async def body(env):
            earlier = registered(env)
            env.register("s0", born=2000)
            await asyncio.sleep(0.5)
            record_response(env, earlier, 200, LEAVING)
            return registered(env).leaving

        self.assertFalse(self.play(body))

    def test_restarted_server_gets_requests(self):
        async def body(env):
            record_response(env, registered(env), 200, LEAVING)
            env.register("s0", born=2000)
            await asyncio.sleep(0.5)
            return registered(env).leaving

        self.assertFalse(self.play(body))

    def test_response_of_another_server_at_the_address_does_not_count(self):
        for status, more in ((421, ()), (200, (("instance-id", "x1"),))):

            async def body(env, status=status, more=more):
                limit = (("server-limit", "1"), ("retry-after", "3"))
                fields = (*LEAVING, *limit, *more)
                record_response(env, registered(env), status, fields)
                return (
                    registered(env).leaving,
                    env.gateway.server_limits.count_limited(),
                    env.gateway.server_backoffs.count_active(),
                )

            self.assertEqual((False, 0, 0), self.play(body))

    def test_request_in_flight_at_a_leaving_server_completes(self):
        async def body(env):
            server = env.servers["s0"]
            server.work_s = 0.3
            remove_other_servers(env, "s0")
            await asyncio.sleep(0.5)
            running = asyncio.ensure_future(env.request("a"))
            await asyncio.sleep(0.05)
            record_response(env, registered(env), 200, LEAVING)
            return (await running).status

        self.assertEqual(200, self.play(body))
