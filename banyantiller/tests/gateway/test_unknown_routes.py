"""Tests of when a request without a route is rejected with 404."""

import asyncio

from banyantiller.store import interface
from banyantiller.tests.gateway import harness

READ = harness.route("read", "safe", "/read/")
FILE = harness.route("file", "unsafe", "/file/")
NEW = harness.route("new", "safe", "/new/")
# Delay of the responses of a store that is almost too slow, in seconds.
STORE_DELAY_S = 1.9


class PipelinedBeforeFirstDocumentTest(harness.TestCase):
    """Pipelined requests to a daemon that just started.

    Guards against 404 for pipelined requests whose route every document has. If
    a call looks up its route only when its request is read, before the first
    document is known, then only the first request of a connection waits for the
    document and repeats the lookup. Those behind it run when the document is
    known already, and keep the result of the lookup without one. Version 0
    stands for no document:

        32.4070 gateway: document in force. version=19 before=0
        32.5955 gateway: call ended. version=19 status=200 took_ms=281.2
        32.5956 gateway: call ended. version=0 status=404 took_ms=261.2
    """

    def answers(self, *requests):
        """Returns the replies to pipelined requests to a starting daemon."""

        async def body(env):
            await env.start_gateway(name="d2")
            caller = await harness.Caller.connect(env)
            for number, (path, method) in enumerate(requests):
                caller.send(
                    f"a{number}", path, method, b"x" * (method != "GET")
                )
            return [await caller.read() for _ in requests]

        return self.play(body)

    def statuses(self, *requests):
        """Returns the statuses of these replies."""
        return [answer.status for answer in self.answers(*requests)]

    def test_pipelined_reads_are_served(self):
        reads = [("/read/x", "GET")] * 4
        self.assertEqual([200] * 4, self.statuses(*reads))

    def test_pipelined_request_that_is_not_idempotent_is_served(self):
        requests = [("/read/x", "GET"), ("/file/x", "POST"), ("/read/x", "GET")]
        self.assertEqual([200] * 3, self.statuses(*requests))

    def test_request_parsed_as_the_first_document_arrives_is_served(self):
        """It is the first of its connection, but runs after the document."""

        async def body(env):
            store = env.gateway.adapter.store
            documents = await store.list("config")
            listed = await store.list("servers")
            await env.start_gateway(name="d2")
            caller = await harness.Caller.connect(env)
            await asyncio.sleep(0)
            (connection,) = env.gateway.connections
            head = f"GET /read/x HTTP/1.1\r\nhost: {harness.HOST}\r\n\r\n"
            connection.data_received(head.encode())
            registrations = env.gateway.store_view.registrations
            registrations.handlers().on_listed(listed.items)
            env.gateway.store_view._documents_listed(documents.items)
            return (await caller.read()).status

        self.assertEqual(200, self.play(body))

    def test_pipelined_request_without_a_route_gets_404(self):
        requests = [("/read/x", "GET"), ("/never/x", "GET")]
        self.assertEqual([200, 404], self.statuses(*requests))

    def test_pipelined_reads_run_concurrently(self):
        """They wait for the document, but not for each other."""
        first, second = self.answers(*[("/read/x", "GET")] * 2)
        self.assertEqual([200, 200], [first.status, second.status])
        # One after the other, it would take as long as the first one.
        self.assertLess(second.took_s, first.took_s / 2)


class DocumentChangeWhileWaitingTest(harness.TestCase):
    """A newer document comes into force while a request waits for another.

    Guards against a call that uses two documents: the one for the route when
    its request is read, and the one for the services when it runs, up to the
    objective of another request later. The caller gets 404 if only the newer
    document has the route, and 500 if it lacks the service of the old route:

        gateway: internal error. KeyError: 'other'
    """

    def statuses(self, earlier, later, services=("orders", "other")):
        """Returns the statuses of a read and a request sent behind it.

        Args:
            earlier: Routes for the second request when it is read.
            later: Routes for it 0.03 s later, before it runs.
            services: Services of the later document.
        """

        async def body(env):
            await env.add_server("o1", "other")
            env.put_document([READ, *earlier])
            await asyncio.sleep(0.1)
            caller = await harness.Caller.connect(env)
            caller.send("a")
            caller.send("b", "/file/x", "POST", b"deposit")
            await asyncio.sleep(0.03)
            env.put_document([READ, *later], services)
            return [(await caller.read()).status for _ in range(2)]

        return self.play(body)

    def test_route_added_while_waiting_is_served(self):
        self.assertEqual([200, 200], self.statuses([], [FILE]))

    def test_route_removed_while_waiting_gets_404(self):
        self.assertEqual([200, 404], self.statuses([FILE], []))

    def test_route_moved_while_waiting_uses_its_new_service(self):
        moved = FILE | {"service": "other"}
        found = self.statuses([moved], [FILE], services=("orders",))
        self.assertEqual([200, 200], found)


class OutdatedDocumentTest(harness.TestCase):
    """A route is missing from a document that may be out of date.

    While the store does not respond, operators may add routes that a daemon
    can't know. Guards against 404, which is final for callers, 20 s after the
    last response of the store:

        gateway: store is lost. kind=config reason=no whole answer within 3.8 s
        gateway: call ended. status=404 error=unknown_service version=2
    """

    def request_after_store_outage(self, outage_s, path):
        """Returns a reply after the store was unresponsive for some time."""

        async def body(env):
            env.store.faults.silent = True
            await asyncio.sleep(outage_s)
            return await env.request("a", path)

        return self.play(body)

    def test_missing_route_gets_503_after_a_store_outage(self):
        answer = self.request_after_store_outage(20, "/new/x")
        self.assertEqual(503, answer.status)
        self.assertEqual("no", answer.headers["request-ran"])
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_known_route_is_served(self):
        self.assertEqual(
            200, self.request_after_store_outage(20, "/read/x").status
        )

    def test_missing_route_gets_404_while_the_store_responds(self):
        async def body(env):
            # Covers the longest time between two responses of a store in which
            # nothing changes.
            return await poll_statuses(env, "/new/x", 7)

        self.assertEqual({404}, self.play(body))

    def test_missing_route_gets_404_again_once_the_store_responds(self):
        async def body(env):
            env.store.faults.silent = True
            await asyncio.sleep(20)
            env.store.faults.silent = False
            await asyncio.sleep(2)
            return (await env.request("a", "/new/x")).status

        self.assertEqual(404, self.play(body))

    def test_missing_route_gets_503_once_the_store_is_lost(self):
        """The daemon knows that the store was lost up to 3.5 s ago.

        A document with the route was accepted since. Failure: 404 for each
        request from the loss until the daemon's document is 4 s old.
        """

        async def body(env):
            env.store.faults.busy = True
            # Responses of the store in flight have arrived by then.
            await asyncio.sleep(3.1)
            self.assertIsNotNone(env.gateway.store_view.store_health.lost_at)
            env.put_document([READ, NEW])
            return await poll_statuses(env, "/new/x", 4)

        self.assertEqual({503}, self.play(body))

    def test_missing_route_gets_503_after_an_unreadable_document(self):
        """The newest document is unreadable and may have the route.

        Failure: 404, if the store's response with that document counts as a
        confirmation that the earlier one is the newest.
        """

        async def body(env):
            env.store.put("config", "main", {"version": 99, "routes": [NEW]})
            await asyncio.sleep(1)
            return await poll_statuses(env, "/new/x", 4)

        self.assertEqual({503}, self.play(body))


class OutdatedDocumentOfRelayTest(harness.TestCase):
    """A daemon reads documents through relays, which may be out of date."""

    def play_with_relays(self, count, body):
        """Runs `body` with a daemon that reads through relays.

        Args:
            count: Number of relays.
            body: Takes the harness and the gateways of the relays.
        """

        async def whole(env):
            relays = [env.gateway]
            seeds = [f"{harness.ADDRESS}:{env.control.port}"]
            for number in range(1, count):
                await env.start_gateway(name=f"t{number}")
                relays.append(env.gateway)
                seeds.append(f"{harness.ADDRESS}:{env.control.port}")
            await env.start_gateway(seeds=tuple(seeds), name="asker")
            await asyncio.sleep(6)
            try:
                return await body(env, relays)
            finally:
                for relay in relays:
                    relay.listener.close()
                    await relay.close()

        return self.play(whole)

    def test_server_list_responses_do_not_confirm_the_document(self):
        """A relay gets responses of the store for servers, not for documents.

        Guards against a relay that reports documents with the age of its last
        response about servers. Its subscribers took a document that was 16 s
        old for 0.9 s old, did not read the store themselves, and replied 404
        for a route in force as long as this lasted.
        """

        async def body(env, relays):
            store = relays[0].store_view.reader.store
            changes = store.changes

            async def no_documents(kind, version, wait_s):
                if kind == "config":
                    await asyncio.sleep(0.004)
                    return interface.Unavailable("status 503")
                return await changes(kind, version, wait_s)

            store.changes = no_documents
            await asyncio.sleep(5)
            env.put_document([READ, NEW])
            # In force within 2 s where the store answers.
            await asyncio.sleep(2)
            return await poll_statuses(env, "/new/x", 10)

        self.assertEqual({200}, self.play_with_relays(1, body))

    def test_missing_route_gets_404_though_all_relays_are_late(self):
        """All relays get the store's responses late, as from a slow store.

        Each relay is queried without success before the store is read, so the
        document is up to 5 s old although nothing has failed. Failure: 503 for
        55 of 400 requests for a route that does not exist.
        """

        async def body(env, relays):
            for relay in relays:
                delay_store_changes(relay.store_view.reader.store)
            await asyncio.sleep(10)
            return await poll_statuses(env, "/never/x", 40)

        self.assertEqual({404}, self.play_with_relays(3, body))


def delay_store_changes(store):
    """Delays the store's responses to a daemon."""
    changes = store.changes

    async def delayed_changes(kind, version, wait_s):
        found = await changes(kind, version, wait_s)
        await asyncio.sleep(STORE_DELAY_S)
        return found

    store.changes = delayed_changes


async def poll_statuses(env, path, seconds):
    """Returns the statuses of the replies to a request every 0.1 s."""
    found = set()
    for _ in range(10 * seconds):
        await asyncio.sleep(0.1)
        found.add((await env.request("a", path)).status)
    return found
