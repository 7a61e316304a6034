"""Tests of documents and registrations through outages of the store."""

import asyncio

from banyantiller.tests import base
from banyantiller.tests.gateway import harness


class StoreWatchingTest(base.TestCase):
    def play(self, body):
        """Runs `body(env)` on the paused clock."""

        async def whole():
            async with harness.GatewayHarness() as env:
                return await body(env)

        return self.run_paused(whole())

    def test_new_document_is_in_force_at_once(self):
        async def body(env):
            env.put_document([harness.route("new", "safe", "/new/")])
            await asyncio.sleep(0.05)
            return [
                (await env.request("a", path)).status
                for path in ("/new/x", "/read/x")
            ]

        self.assertEqual([200, 404], self.play(body))

    def test_older_document_is_ignored(self):
        async def body(env):
            env.version = -2
            env.put_document([harness.route("old", "safe", "/old/")])
            await asyncio.sleep(0.05)
            return (await env.request("a", "/read/x")).status

        self.assertEqual(200, self.play(body))

    def test_unreadable_document_changes_nothing(self):
        async def body(env):
            env.put_document([{"name": "half", "routeType": "safe"}])
            await asyncio.sleep(0.05)
            unreadable_count = env.gateway.tallies.documents["unreadable"]
            return (await env.request("a")).status, unreadable_count

        self.assertEqual((200, 1), self.play(body))

    def test_document_is_in_force_soon_after_each_type_of_outage(self):
        for fault in ("down", "busy", "silent", "reset"):

            async def body(env, fault=fault):
                setattr(env.store.faults, fault, True)
                await asyncio.sleep(7)
                setattr(env.store.faults, fault, False)
                env.put_document([harness.route("new", "safe", "/new/")])
                # A change may take 2 s after 3 s of undisturbed store; half of
                # that is used.
                await asyncio.sleep(2.5)
                return (await env.request("a", "/new/x")).status

            self.assertEqual(200, self.play(body), fault)

    def test_return_of_an_unresponsive_store_is_noticed_at_any_time(self):
        # A watch that waits on the unresponsive store may hide a document until
        # 3.1 s after the return.
        for tenths in range(50, 80, 3):

            async def body(env, outage_s=tenths / 10):
                env.store.faults.silent = True
                await asyncio.sleep(outage_s)
                env.store.faults.silent = False
                env.put_document([harness.route("new", "safe", "/new/")])
                await asyncio.sleep(2.2)
                return (await env.request("a", "/new/x")).status

            self.assertEqual(200, self.play(body), tenths)

    def test_lost_history_is_followed_by_a_new_list(self):
        async def body(env):
            env.store.faults.down = True
            await asyncio.sleep(0.5)
            env.put_document([harness.route("new", "safe", "/new/")])
            env.store.remove("servers", "s0")
            env.store.forget()
            env.store.faults.down = False
            await asyncio.sleep(6)
            return (await env.request("a", "/new/x")).status, sorted(
                env.gateway.store_view.table.entries
            )

        self.assertEqual((200, ["s1", "s2"]), self.play(body))

    def test_list_in_pages_is_complete(self):
        async def body(env):
            env.store.faults.page = 2
            await env.add_server("s3")
            env.store.forget()
            await asyncio.sleep(4)
            return sorted(env.gateway.store_view.table.entries)

        self.assertEqual(["s0", "s1", "s2", "s3"], self.play(body))

    def test_draining_server_gets_no_requests_and_does_not_come_back(self):
        async def body(env):
            env.register("s0", state="draining")
            await asyncio.sleep(1)
            env.register("s0", state="ready")
            await asyncio.sleep(1)
            requests_before = len(env.servers["s0"].seen)
            for number in range(12):
                await env.request(f"a{number}")
            return len(env.servers["s0"].seen) - requests_before

        self.assertEqual(0, self.play(body))

    def test_removed_server_gets_no_requests(self):
        async def body(env):
            env.store.remove("servers", "s0")
            await asyncio.sleep(1)
            for number in range(12):
                await env.request(f"a{number}")
            return len(env.servers["s0"].seen)

        self.assertEqual(0, self.play(body))

    def test_registrations_that_lapse_in_an_outage_stay_in_use(
        self,
    ):
        async def body(env):
            env.store.faults.down = True
            await asyncio.sleep(6)
            for name in ("s0", "s1", "s2"):
                env.store.remove("servers", name)
            env.store.faults.down = False
            await asyncio.sleep(1.5)
            status_after_outage = (await env.request("a")).status
            env.register("s0")
            await asyncio.sleep(3)
            return status_after_outage, sorted(
                env.gateway.store_view.table.entries
            )

        self.assertEqual((200, ["s0"]), self.play(body))

    def test_reused_address_is_detected_and_the_request_is_retried(self):
        async def body(env):
            other_server = await env.add_server("x9", "other")
            env.servers["s0"].stop()
            env.gateway.store_view.table.entries[
                "s0"
            ].server = env.gateway.store_view.table.entries[
                "s0"
            ].server._replace(port=other_server.port)
            responses = [await env.request(f"a{n}") for n in range(8)]
            ran = [other_server.ran[f"a{n}"] for n in range(8)]
            registered = "s0" in env.gateway.store_view.table.entries
            return [answer.status for answer in responses], sum(ran), registered

        self.assertEqual(([200] * 8, 0, False), self.play(body))

    def test_daemon_without_a_document_rejects_with_retry_advice(self):
        async def body(env):
            env.store.faults.down = True
            await env.start_gateway()
            answer = await env.request("a")
            return (
                answer.status,
                answer.headers["request-ran"],
                (env.gateway.not_ready_reason()),
            )

        status, ran, reason = self.play(body)
        self.assertEqual((503, "no"), (status, ran))
        self.assertEqual("no document is in force", reason)


class LostAnswerTest(harness.TestCase):
    """Guards against a daemon that hears of no servers for ten seconds.

    The store lost the answer to one call for servers. Calls for documents were
    answered, so the store did not count as lost, and the daemon waited for the
    end of the call while all its servers were replaced.
    """

    # The store counts as undisturbed again this long after a fault. A server
    # that leaves, and an evacuated zone, may get requests for a while.
    CONTACT_S = 3.0
    LEAVE_S = 2.0
    EVACUATE_S = 5.0

    def play_lost_call(self, put, is_known, within_s):
        """Returns whether a change is known in time after a lost call.

        Args:
            put: Writes a change of the kind whose call is lost.
            is_known: Returns whether a daemon knows the last change.
            within_s: Time within which it has to be known, in seconds.
        """

        async def body(env):
            put(env, "first")
            # The next call for this kind begins while answers are lost.
            env.store.faults.lost = True
            await asyncio.sleep(1.0)
            env.store.faults.lost = False
            await asyncio.sleep(self.CONTACT_S)
            put(env, "second")
            await asyncio.sleep(within_s)
            return is_known(env)

        return self.play(body)

    def test_lost_call_for_servers(self):
        def put(env, name):
            env.register("s0", zone=name)

        def is_known(env):
            return env.gateway.store_view.table.entries["s0"].server.zone

        known = self.play_lost_call(put, is_known, self.LEAVE_S)
        self.assertEqual("second", known)

    def test_lost_call_for_evacuated_zones(self):
        def put(env, name):
            env.store.put("evacuations", name, {})

        def is_known(env):
            return "second" in env.gateway.store_view.evacuations.evacuated

        self.assertTrue(self.play_lost_call(put, is_known, self.EVACUATE_S))
