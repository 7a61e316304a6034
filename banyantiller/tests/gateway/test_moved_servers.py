"""Tests of servers that change their address."""

import asyncio

from banyantiller.tests.gateway import harness


def usable_instances(env):
    """Returns the instance names of the servers that may get requests."""
    now = env.gateway.loop.time()
    found = env.gateway.store_view.table.usable(harness.SERVICE, now)
    return sorted(entry.server.instance for entry in found)


class MovedTest(harness.TestCase):
    def test_late_response_from_an_earlier_address_removes_no_server(self):
        """Guards against a live server that gets no more requests.

        A server registers at a new address while a probe of its earlier
        address, which another server now uses, is still running. The response,
        421, must not remove the new registration: the daemon would not receive
        it again before it changes. In the log, `gateway: server gone.
        instance=s0 reason=address_reused` follows the new registration.
        """

        async def body(env):
            entry = env.gateway.store_view.table.entries["s0"]
            earlier = env.servers["s0"]
            earlier.instance = "x9"
            earlier.tells_load = False
            earlier.running = earlier.slots
            probing = asyncio.ensure_future(
                env.gateway.prober.probe([entry], "/health")
            )
            await asyncio.sleep(0.02)
            await env.add_server("s0")
            await asyncio.sleep(0.05)
            earlier.running = 0
            earlier.freed.set()
            env.gateway.prober.release(await probing)
            await asyncio.sleep(5)
            earlier.stop()
            return usable_instances(env)

        self.assertEqual(["s0", "s1", "s2"], self.play(body))

    def test_server_that_registers_at_another_address_is_used_there(self):
        """Guards against a restarted server that gets no more requests.

        The registration has no start time, so that only the new address shows
        the restart. If idle connections to the earlier address stay in use,
        another server responds on them, and the live one is removed: `gateway:
        server gone. instance=s0 reason=address_reused`. All 12 requests got 503
        as no other server was left.
        """

        async def body(env):
            for number in range(6):
                await env.request(f"a{number}")
            earlier = env.servers["s0"]
            earlier.instance = "x9"
            restarted = await env.add_server("s0")
            for name in ("s1", "s2"):
                env.store.remove("servers", name)
            await asyncio.sleep(1)
            answers = [await env.request(f"b{number}") for number in range(12)]
            earlier.stop()
            statuses = [answer.status for answer in answers]
            return statuses, usable_instances(env), sum(restarted.ran.values())

        self.assertEqual(([200] * 12, ["s0"], 12), self.play(body))

    def test_connection_to_an_earlier_address_is_not_kept(self):
        """Guards against a pool that has a connection to another server.

        A server registers at a new address after a probe, before the probe's
        connection is returned to the pool. Pools are kept by instance name, so
        the next request would go to the earlier address, and its response would
        remove the server. The pool of the new address had one idle connection
        although none had been opened to it.
        """

        async def body(env):
            view = env.gateway.store_view
            entry = view.table.entries["s0"]
            found = await env.gateway.prober.probe([entry], "/health")
            earlier = env.servers["s0"]
            restarted = await env.add_server("s0")
            await asyncio.sleep(1)
            env.gateway.prober.release(found)
            earlier.stop()
            server_pool = env.gateway.pool_of(view.table.entries["s0"].server)
            return len(
                server_pool.idle
            ), server_pool.server.port == restarted.port

        self.assertEqual((0, True), self.play(body))

    def test_server_that_shut_down_and_restarts_elsewhere_is_used(self):
        """Guards against a server that gets no requests after a restart.

        The registration has no start time. The shutdown that the earlier
        incarnation announced must not apply to the later one, as it would for
        the lifetime of this process. In the log, a registration in state ready
        shows as `gateway: server joined. instance=s0 leaving=True`.
        """

        async def body(env):
            env.register("s0", state="draining")
            await asyncio.sleep(1)
            env.store.remove("servers", "s0")
            await asyncio.sleep(1)
            earlier = env.servers["s0"]
            await env.add_server("s0")
            await asyncio.sleep(1)
            earlier.stop()
            return usable_instances(env)

        self.assertEqual(["s0", "s1", "s2"], self.play(body))
