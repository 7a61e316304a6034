"""Tests of when callers are told that there is no route for a request."""

import asyncio

from banyantiller.store import interface
from banyantiller.tests.gateway import harness

READ = harness.route("read", "safe", "/read/")
FILE = harness.route("file", "unsafe", "/file/")
NEW = harness.route("new", "safe", "/new/")
# How late the answers of a store are that is about to be too slow, in seconds.
LATE_S = 1.9


class SentAheadOfFirstDocumentTest(harness.TestCase):
    """Requests sent ahead of their answers to a daemon that just started.

    All daemons had lost power and came back while callers were waiting. A
    caller that sends several requests on one connection got an answer to the
    first and 404 for the others, up to a second later, although each document
    had their route. A call looked up its route when its request was read,
    before the first document was known. Only the first request of a connection
    then waits for the document and looks again. Those behind it wait for their
    turn, and by then the document is known, so they kept what had been found
    without one. Lines of such a start; the version of no document is 0:

        32.4070 gateway: document in force. version=19 before=0
        32.5955 gateway: call ended. version=19 status=200 took_ms=281.2
        32.5956 gateway: call ended. version=0 status=404 took_ms=261.2
    """

    def answers(self, *sent):
        """Returns the answers to requests sent ahead at a start."""

        async def body(place):
            await place.start_gateway(name="d2")
            caller = await harness.Caller.connect(place)
            for number, (path, method) in enumerate(sent):
                caller.send(
                    f"a{number}", path, method, b"x" * (method != "GET")
                )
            return [await caller.read() for _ in sent]

        return self.play(body)

    def statuses(self, *sent):
        """Returns the statuses of these answers."""
        return [answer.status for answer in self.answers(*sent)]

    def test_reads_behind_another_are_served(self):
        reads = [("/read/x", "GET")] * 4
        self.assertEqual([200] * 4, self.statuses(*reads))

    def test_request_that_must_not_be_repeated_is_served_behind_a_read(self):
        sent = [("/read/x", "GET"), ("/file/x", "POST"), ("/read/x", "GET")]
        self.assertEqual([200] * 3, self.statuses(*sent))

    def test_request_read_in_the_turn_of_the_first_document_is_served(self):
        """None is ahead of it, but it runs after the document came."""

        async def body(place):
            store = place.gateway.adapter.store
            documents = await store.list("config")
            listed = await store.list("servers")
            await place.start_gateway(name="d2")
            caller = await harness.Caller.connect(place)
            await asyncio.sleep(0)
            (connection,) = place.gateway.connections
            head = f"GET /read/x HTTP/1.1\r\nhost: {harness.HOST}\r\n\r\n"
            connection.data_received(head.encode())
            place.gateway.store_view._servers_listed(listed.items)
            place.gateway.store_view._documents_listed(documents.items)
            return (await caller.read()).status

        self.assertEqual(200, self.play(body))

    def test_route_that_no_document_has_is_unknown_behind_a_read(self):
        sent = [("/read/x", "GET"), ("/never/x", "GET")]
        self.assertEqual([200, 404], self.statuses(*sent))

    def test_reads_behind_another_are_run_at_once(self):
        """They wait for the document together, not for one another."""
        first, second = self.answers(*[("/read/x", "GET")] * 2)
        self.assertEqual([200, 200], [first.status, second.status])
        # In its turn it would take as long again as the first one.
        self.assertLess(second.took_s, first.took_s / 2)


class DocumentBetweenReadingAndRunningTest(harness.TestCase):
    """A request waits behind another while a newer document comes.

    What a call needs of a document was looked up twice: the route when its
    request was read, the services when it ran, up to the objective of another
    request later. With a document in between that has a route that the earlier
    one had not, the caller got 404 for a route in force; with one that has no
    longer the service of the earlier route, it got 500:

        gateway: a call failed. KeyError: 'other'
    """

    def statuses(self, earlier, later, services=("orders", "other")):
        """Returns the statuses of a read and a request sent behind it.

        Args:
            earlier: Route of the second one when it is read.
            later: Its route from 0.03 s later on, before it runs.
            services: Services of the later document.
        """

        async def body(place):
            await place.add_server("o1", "other")
            place.put_document([READ, *earlier])
            await asyncio.sleep(0.1)
            caller = await harness.Caller.connect(place)
            caller.send("a")
            caller.send("b", "/file/x", "POST", b"deposit")
            await asyncio.sleep(0.03)
            place.put_document([READ, *later], services)
            return [(await caller.read()).status for _ in range(2)]

        return self.play(body)

    def test_route_that_came_meanwhile_is_served(self):
        self.assertEqual([200, 200], self.statuses([], [FILE]))

    def test_route_that_went_meanwhile_is_unknown(self):
        self.assertEqual([200, 404], self.statuses([FILE], []))

    def test_route_that_moved_meanwhile_is_served_by_its_new_service(self):
        moved = FILE | {"service": "other"}
        found = self.statuses([moved], [FILE], services=("orders",))
        self.assertEqual([200, 200], found)


class OldDocumentTest(harness.TestCase):
    """A route that is missing from a document that may be out of date.

    While the store gives no answer, operators may add routes that a daemon
    can't know. It went on telling 404, which callers take as final, 20 s after
    it had last heard of the store:

        gateway: store is lost. kind=config reason=no whole answer within 3.8 s
        gateway: call ended. status=404 error=unknown_service version=2
    """

    def after_silence(self, silence_s, path):
        """Returns an answer after the store was silent for some time."""

        async def body(place):
            place.store.faults.silent = True
            await asyncio.sleep(silence_s)
            return await place.request("a", path)

        return self.play(body)

    def test_missing_route_is_no_final_answer(self):
        answer = self.after_silence(20, "/new/x")
        self.assertEqual(503, answer.status)
        self.assertEqual("no", answer.headers["request-ran"])
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_known_route_is_served(self):
        self.assertEqual(200, self.after_silence(20, "/read/x").status)

    def test_missing_route_is_unknown_while_the_store_answers(self):
        async def body(place):
            # The longest time between two answers of a store where nothing
            # changes lies within these.
            return await poll_statuses(place, "/new/x", 7)

        self.assertEqual({404}, self.play(body))

    def test_missing_route_is_unknown_again_once_the_store_answers(self):
        async def body(place):
            place.store.faults.silent = True
            await asyncio.sleep(20)
            place.store.faults.silent = False
            await asyncio.sleep(2)
            return (await place.request("a", "/new/x")).status

        self.assertEqual(404, self.play(body))

    def test_missing_route_is_no_final_answer_once_the_store_is_lost(self):
        """The store has been lost for up to 3.5 s, and the daemon knows it.

        A document with the route was accepted meanwhile. Seen: 404 at each
        question from the loss on until the document was 4 s old.
        """

        async def body(place):
            place.store.faults.busy = True
            # Answers of the store that were under way have come by then.
            await asyncio.sleep(3.1)
            self.assertIsNotNone(place.gateway.store_view.store_health.lost_at)
            place.put_document([READ, NEW])
            return await poll_statuses(place, "/new/x", 4)

        self.assertEqual({503}, self.play(body))

    def test_missing_route_is_no_final_answer_by_an_unreadable_document(self):
        """The newest document can't be read, and may have the route.

        Seen: 404, since the answer of the store that brought it counted as its
        word that the earlier one is the newest.
        """

        async def body(place):
            place.store.put("config", "main", {"version": 99, "routes": [NEW]})
            await asyncio.sleep(1)
            return await poll_statuses(place, "/new/x", 4)

        self.assertEqual({503}, self.play(body))


class OldDocumentOfAnotherDaemonTest(harness.TestCase):
    """A daemon that learns of documents from others, which may be behind."""

    def play_with_tellers(self, count, body):
        """Plays with a daemon that asks others.

        Args:
            count: Daemons that are asked.
            body: Takes the world and these daemons' gateways.
        """

        async def whole(place):
            tellers = [place.gateway]
            seeds = [f"{harness.ADDRESS}:{place.control.port}"]
            for number in range(1, count):
                await place.start_gateway(name=f"t{number}")
                tellers.append(place.gateway)
                seeds.append(f"{harness.ADDRESS}:{place.control.port}")
            await place.start_gateway(seeds=tuple(seeds), name="asker")
            await asyncio.sleep(6)
            try:
                return await body(place, tellers)
            finally:
                for teller in tellers:
                    teller.listener.close()
                    await teller.close()

        return self.play(whole)

    def test_answers_about_servers_say_nothing_of_the_document(self):
        """A daemon that is asked hears of servers, and not of documents.

        What it told of documents bore the age of its last answer about
        servers. Those that ask took 0.9 s for the age of a document that was
        16 s old, did not read the store themselves, and told 404 for a route
        in force for as long as it lasted.
        """

        async def body(place, tellers):
            store = tellers[0].store_view.reader.store
            changes = store.changes

            async def no_documents(kind, version, wait_s):
                if kind == "config":
                    await asyncio.sleep(0.004)
                    return interface.Unavailable("status 503")
                return await changes(kind, version, wait_s)

            store.changes = no_documents
            await asyncio.sleep(5)
            place.put_document([READ, NEW])
            # In force within 2 s where the store answers.
            await asyncio.sleep(2)
            return await poll_statuses(place, "/new/x", 10)

        self.assertEqual({200}, self.play_with_tellers(1, body))

    def test_missing_route_is_unknown_though_the_others_are_late(self):
        """All that are asked hear the store late, as when it is slow.

        Each of them is asked in vain before the store is read, so that the
        document is up to 5 s old where nothing is wrong. Seen: 503 for 55
        of 400 questions for a route that does not exist.
        """

        async def body(place, tellers):
            for teller in tellers:
                slow_down(teller.store_view.reader.store)
            await asyncio.sleep(10)
            return await poll_statuses(place, "/never/x", 40)

        self.assertEqual({404}, self.play_with_tellers(3, body))


def slow_down(store):
    """Lets a daemon hear the answers of the store late."""
    changes = store.changes

    async def late(kind, version, wait_s):
        found = await changes(kind, version, wait_s)
        await asyncio.sleep(LATE_S)
        return found

    store.changes = late


async def poll_statuses(place, path, seconds):
    """Returns the statuses of the answers to a request each 0.1 s."""
    found = set()
    for _ in range(10 * seconds):
        await asyncio.sleep(0.1)
        found.add((await place.request("a", path)).status)
    return found
