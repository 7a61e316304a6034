"""Bytes of callers and of servers, through a whole gateway."""

import asyncio

import structlog
from hypothesis import strategies as st

from banyantiller.gateway import call_events
from banyantiller.telemetry import events as log_events
from banyantiller.tests.base import TestCase
from banyantiller.tests.faults import seeds
from banyantiller.tests.fuzz import mutations
from banyantiller.tests.fuzz.test_proxy import (
    CUTS,
    REQUEST_TOKENS,
    RESPONSE_TOKENS,
    pieces,
    read_answers,
)
from banyantiller.tests.gateway import harness

REQUESTS = (
    b"GET /read/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a1\r\n"
    b"Deadline-Ms: 500\r\n\r\n",
    b"POST /file/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a2\r\n"
    b"Content-Length: 5\r\n\r\nhello",
    b"POST /file/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    b"GET /read/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a4\r\n\r\n"
    b"GET /read/y HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a5\r\n\r\n",
    b"HEAD /read/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a6\r\n\r\n",
)
CALLER_TOKENS = (
    *REQUEST_TOKENS,
    b"Attempt-Id: \r\n",
    b"Attempt-Id: a9\r\n",
    b"Deadline-Ms: -1\r\n",
    b"Deadline-Ms: 1e9\r\n",
    b"Target-Instance: s9\r\n",
    b"../file/",
)
# What a server answers to a request for its load, and to any other.
HEALTH = (
    b"HTTP/1.1 200 OK\r\nInstance-Id: raw\r\nUpstream-Load: 0,0,2,100\r\n"
    b"Content-Length: 0\r\n\r\n"
)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nUpstream-Signature: by.raw\r\n"
    b"Content-Length: 4\r\n\r\ngood"
)
ANSWERS = (
    ANSWER,
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nUpstream-Signature: by.raw\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
    b"HTTP/1.1 503 Full\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    b"HTTP/1.1 500 Bad\r\nAttempt-Id: a1\r\nUpstream-Signature: by.raw\r\n"
    b"Content-Length: 3\r\n\r\nbad",
    ANSWER + ANSWER,
)
SERVER_TOKENS = (
    *RESPONSE_TOKENS,
    b"Attempt-Id: a2\r\n",
    b"Not-Executed: 1\r\n",
    b"Keep-Alive: timeout=-1\r\n",
    b"Keep-Alive: timeout=1e99\r\n",
    b"Upstream-Load: 1,2\r\n",
    b"Upstream-Load: nan,1,1,1\r\n",
)
LONGEST_S = 60.0
FAULT = log_events.text_of(call_events.CallFault)


class CallerBytesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.statuses = set()

    async def talk(self, data, cuts, ends):
        async with harness.GatewayHarness() as place:
            reader, writer = await asyncio.open_connection(
                harness.ADDRESS, place.port
            )
            for piece in pieces(data, cuts):
                writer.write(piece)
                await asyncio.sleep(0.01)
            if ends:
                writer.write_eof()
            got = b""
            try:
                async with asyncio.timeout(LONGEST_S):
                    got = await reader.read()
            except ConnectionError:
                # It sent more after the gateway had answered and closed.
                pass
            writer.close()
            after = await place.request("after")
            await asyncio.sleep(1)
            self.assertEqual(0, place.gateway.buffered_body_bytes)
            self.assertEqual(set(), place.gateway.connections)
            self.assertEqual((200, 1), (after.status, place.ran("after")))
            return got

    def check(self, data, cuts, ends):
        with structlog.testing.capture_logs() as lines:
            got = self.run_paused(self.talk(data, cuts, ends))
        self.assertNotIn(FAULT, [line["event"] for line in lines])
        self.statuses |= {one.status_code for one in read_answers(got)}

    def test_damaged_requests(self):
        data = mutations.mutated(REQUESTS, CALLER_TOKENS)
        seeds.explore(self.check, 120, data, CUTS, st.booleans())
        self.assertEqual(set(), {200, 400} - self.statuses)

    def test_bytes(self):
        data = st.binary(min_size=1, max_size=50)
        seeds.explore(self.check, 30, data, CUTS, st.booleans())


class ServerBytesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.statuses = set()

    async def talk(self, health, answer, cuts, closes, method):
        """Returns the answer to one request, and how often it was sent."""
        sent = []

        async def serve(reader, writer):
            try:
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    asked = head.startswith(b"GET /health")
                    if not asked:
                        sent.append(head)
                    for piece in pieces(health if asked else answer, cuts):
                        writer.write(piece)
                        await asyncio.sleep(0.001)
                    if closes and not asked:
                        return
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        raw = await asyncio.start_server(serve, harness.ADDRESS, 0)
        port = raw.sockets[0].getsockname()[1]
        async with harness.GatewayHarness() as place:
            for name in list(place.servers):
                place.store.remove("servers", name)
                place.servers.pop(name).stop()
            place.servers["raw"] = harness.registered_server.RegisteredServer(
                "raw"
            )
            place.register("raw", port=port)
            await asyncio.sleep(2)
            path = "/read/x" if method == "GET" else "/file/x"
            found = await place.request("a1", path, method)
        raw.close()
        return found, len(sent)

    def check(self, health, answer, cuts, closes, method):
        with structlog.testing.capture_logs() as lines:
            found, sent = self.run_paused(
                self.talk(health, answer, cuts, closes, method)
            )
        self.assertNotIn(FAULT, [line["event"] for line in lines])
        self.statuses.add(found.status)
        if method == "POST":
            refused = b"not-executed" in answer.lower() or b"421" in answer
            self.assertTrue(sent <= 1 or refused, sent)
        if found.status // 100 == 2:
            self.assertIn("upstream-signature", found.headers)
            self.assertEqual("a1", found.headers["attempt-id"])
        if found.status == 503:
            # Not run: not sent, or the server said so.
            self.assertTrue(
                not sent or b"xecuted" in answer or b"421" in answer
            )

    def test_damaged_answers(self):
        answers = mutations.mutated(ANSWERS, SERVER_TOKENS)
        methods = st.sampled_from(("GET", "POST"))
        seeds.explore(
            self.check, 150, st.just(HEALTH), answers, CUTS, st.booleans(),
            methods,
        )  # fmt: skip
        self.assertEqual(set(), {200, 502} - self.statuses)

    def test_damaged_load(self):
        health = mutations.mutated((HEALTH,), SERVER_TOKENS)
        methods = st.sampled_from(("GET", "POST"))
        seeds.explore(
            self.check, 80, health, st.just(ANSWER), CUTS, st.booleans(),
            methods,
        )  # fmt: skip
        self.assertIn(200, self.statuses)
