"""Tests that a server that asks for a backoff gets no requests meanwhile."""

import asyncio

from banyantiller.http import messages
from banyantiller.tests.gateway import harness

BACKOFF_S = 3.0
REQUEST_INTERVAL_S = 0.05
LONG_WORK_S = 0.25
# Requests that may reach a server in its backoff, from `SETTLE_S` after its
# response on: they were sent before.
MAX_LATE_ARRIVALS = 2
SETTLE_S = 0.5
MAX_REQUESTS = 100


def work_long(env):
    """Makes work so long that two servers seldom have a free slot."""
    for server in env.servers.values():
        server.work_s = LONG_WORK_S


def refuse(server, backoff_s=BACKOFF_S):
    """Lets a server refuse requests with `Retry-After`, though it has room."""
    server.faults.shed = True
    server.retry_after = f"{backoff_s:g}"


def max_arrivals_in_backoff(server, backoff_s=BACKOFF_S):
    """Returns the maximum number of requests in any backoff of a server."""
    times = [one.at for one in server.arrivals]
    refused_at = [one.at for one in server.arrivals if one.refusal == 503]
    return max(
        sum(at + SETTLE_S < time < at + backoff_s for time in times)
        for at in refused_at
    )


async def send_requests(env, seconds, name="r"):
    """Sends requests at a steady rate and returns the replies."""
    tasks = []
    for number in range(round(seconds / REQUEST_INTERVAL_S)):
        tasks.append(asyncio.ensure_future(env.request(f"{name}{number}")))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    return await asyncio.gather(*tasks)


async def request_until_refused(env, server):
    """Sends requests until a server has refused one."""
    for number in range(MAX_REQUESTS):
        if any(one.refusal == 503 for one in server.arrivals):
            return
        await env.request(f"{server.instance}-{number}")
    raise AssertionError("the server got no request")


def record_refusal(env, name, backoff_s=BACKOFF_S):
    """Records a refusal of a server as if it had just been received."""
    gateway = env.gateway
    response = messages.Response(503, (("retry-after", f"{backoff_s:g}"),))
    server = gateway.store_view.table.entries[name].server
    gateway.response_recorders.to_request(server, response, gateway.loop.time())


def is_backed_off(env, name):
    """Returns whether a server is in a backoff."""
    gateway = env.gateway
    server = gateway.store_view.table.entries[name].server
    return gateway.server_backoffs.is_active(server, gateway.loop.time())


class ServerBackoffTest(harness.TestCase):
    def test_idle_server_that_sent_retry_after_gets_no_requests_meanwhile(self):
        async def body(env):
            work_long(env)
            refuse(env.servers["s0"])
            await send_requests(env, 2 * BACKOFF_S)
            return max_arrivals_in_backoff(env.servers["s0"])

        self.assertLessEqual(self.play(body), MAX_LATE_ARRIVALS)

    def test_server_is_not_probed_in_its_backoff(self):
        async def body(env):
            refuse(env.servers["s0"])
            await request_until_refused(env, env.servers["s0"])
            probes = env.servers["s0"].asked
            await send_requests(env, BACKOFF_S - 0.1)
            return env.servers["s0"].asked - probes

        self.assertEqual(0, self.play(body))

    def test_server_gets_requests_again_after_its_backoff(self):
        async def body(env):
            server = env.servers["s0"]
            refuse(server)
            await request_until_refused(env, server)
            server.faults.shed = False
            work_long(env)
            await send_requests(env, BACKOFF_S + 1)
            return sum(server.ran.values())

        self.assertGreater(self.play(body), 0)

    def test_later_shorter_backoff_does_not_end_a_longer_one(self):
        async def body(env):
            for backoff_s in (BACKOFF_S, 0.1):
                record_refusal(env, "s0", backoff_s)
            await asyncio.sleep(BACKOFF_S - 0.1)
            return is_backed_off(env, "s0")

        self.assertTrue(self.play(body))

    def test_refusal_with_broken_body_counts(self):
        async def body(env):
            server = env.servers["s0"]
            refuse(server)
            server.faults.cut = True
            await request_until_refused(env, server)
            return is_backed_off(env, "s0")

        self.assertTrue(self.play(body))

    def test_refused_probe_counts(self):
        async def body(env):
            server = env.servers["s0"]
            server.faults.ill = True
            server.retry_after = f"{BACKOFF_S:g}"
            await send_requests(env, 1.0)
            asked = server.asked
            await send_requests(env, 1.0, "later")
            return server.asked - asked, is_backed_off(env, "s0")

        self.assertEqual((0, True), self.play(body))

    def test_unreadable_retry_after_changes_nothing(self):
        async def body(env):
            server = env.servers["s0"]
            server.faults.shed = True
            server.retry_after = "soon"
            await request_until_refused(env, server)
            return is_backed_off(env, "s0"), (await env.request("a")).status

        self.assertEqual((False, 200), self.play(body))

    def test_backoff_outlasts_a_lapsed_registration(self):
        async def body(env):
            server = env.servers["s0"]
            refuse(server)
            await request_until_refused(env, server)
            count = len(server.arrivals)
            env.store.remove("servers", "s0")
            await asyncio.sleep(1)
            env.register("s0")
            await asyncio.sleep(0.5)
            registered = "s0" in env.gateway.store_view.table.entries
            work_long(env)
            await send_requests(env, 1.0, "later")
            return registered, len(server.arrivals) - count

        self.assertEqual((True, 0), self.play(body))

    def test_restarted_server_gets_requests_at_once(self):
        async def body(env):
            refuse(env.servers["s0"])
            await request_until_refused(env, env.servers["s0"])
            env.servers["s0"].stop()
            restarted = await env.add_server("s0")
            env.register("s0", born=2000)
            await asyncio.sleep(0.5)
            work_long(env)
            await send_requests(env, 1.0, "later")
            return sum(restarted.ran.values())

        self.assertGreater(self.play(body), 0)

    def test_request_is_not_sent_if_the_server_refuses_during_the_connect(self):
        async def body(env):
            for server in env.servers.values():
                server.tells_load = False
            await env.request("warm")
            for name in env.servers:
                self.refuse_during_connect(env, name)
            reply = await env.request("a")
            return reply.status, env.ran("a")

        self.assertEqual((503, 0), self.play(body))

    def refuse_during_connect(self, env, name):
        """Makes a server ask for a backoff while a connection is opened."""
        entry = env.gateway.store_view.table.entries[name]
        server_pool = env.gateway.pool_of(entry.server)
        acquire = server_pool.acquire

        async def acquire_slowly(fresh=False):
            link = await acquire(fresh)
            record_refusal(env, name)
            return link

        self.patch(server_pool, "acquire", acquire_slowly)

    def test_server_at_work_is_not_probed_in_its_backoff(self):
        async def body(env):
            for name in ("s1", "s2"):
                env.store.remove("servers", name)
            server = env.servers["s0"]
            server.work_s = 0.4
            await asyncio.sleep(0.5)
            running = asyncio.ensure_future(env.request("a"))
            await asyncio.sleep(0.02)
            record_refusal(env, "s0")
            asked = server.asked
            reply = await running
            return reply.status, server.asked - asked

        self.assertEqual((200, 0), self.play(body))

    def test_request_is_refused_at_once_if_all_servers_are_backed_off(self):
        async def body(env):
            for name in env.servers:
                record_refusal(env, name)
            return await env.request("a", "/file/x", "POST"), env.ran("a")

        reply, run_count = self.play(body)
        self.assertEqual((503, 0), (reply.status, run_count))
        self.assertEqual("no", reply.headers["request-ran"])
        self.assertLess(reply.took_s, 0.01)
        self.assertEqual("1.000", reply.headers["retry-after"])

    def test_request_waits_for_a_backoff_that_ends_soon(self):
        async def body(env):
            for name in env.servers:
                record_refusal(env, name, 0.02)
            return (await env.request("a")).status

        self.assertEqual(200, self.play(body))

    def test_other_daemons_are_not_affected(self):
        async def body(env):
            record_refusal(env, "s0")
            await env.start_gateway(name="d2")
            await asyncio.sleep(0.1)
            await send_requests(env, 1.0)
            return sum(env.servers["s0"].ran.values())

        self.assertGreater(self.play(body), 0)

    def test_ended_backoffs_are_forgotten(self):
        async def body(env):
            record_refusal(env, "s0", 0.5)
            await asyncio.sleep(1)
            return env.gateway.server_backoffs.by_incarnation

        self.assertEqual({}, self.play(body))
