"""Tests of responses that never end, on the paused clock."""

import asyncio
import collections

from banyantiller.gateway import pool, types
from banyantiller.http import client, connection, messages, outcomes
from banyantiller.tests import base
from standins import endless_server

ADDRESS = "127.0.0.1"
HEAD_BYTES = 65536
BODY_BYTES = 1 << 18
# A response may have a head and a body of these sizes, and what the sockets
# buffer comes on top.
MAX_SENT_BYTES = HEAD_BYTES + BODY_BYTES + (1 << 19)
# Longer than it takes to send that much.
TIMEOUT_S = 0.1
REQUEST = messages.Request("GET", "/", (("host", "a"),))


class EndlessResponseTest(base.TestCase):
    def use(self, pattern, body):
        """Runs `body(server)` with a server that answers with a pattern."""

        async def whole():
            server = endless_server.EndlessServer(pattern)
            await server.start(ADDRESS)
            try:
                return await body(server)
            finally:
                server.stop()

        return self.run_paused(whole())

    async def read_response(self, server):
        """Reads one response; returns the outcome and the bytes sent."""
        link = await connection.ClientConnection.open(
            ADDRESS, server.port, HEAD_BYTES
        )
        try:
            async with asyncio.timeout(TIMEOUT_S):
                link.write(REQUEST)
                await link.read_head()
                await link.read_body(BODY_BYTES)
        except (
            connection.ConnectionLostError,
            connection.BodyTooLargeError,
            TimeoutError,
        ) as error:
            return type(error), server.sent
        finally:
            link.reset()
        return None, server.sent

    def test_bytes_without_end_are_given_up_by_size(self):
        """Informational heads and tiny chunks were read until the timeout."""
        for name, pattern in endless_server.NO_ANSWER.items():
            outcome, sent = self.use(pattern, self.read_response)
            self.assertIn(
                outcome,
                (connection.ConnectionLostError, connection.BodyTooLargeError),
                name,
            )
            self.assertLess(sent, MAX_SENT_BYTES, name)

    def test_other_tasks_run_while_small_chunks_are_parsed(self):
        """All chunks of one read were parsed in one step of the loop."""
        part = endless_server.repeated(b"10\r\n0123456789abcdef\r\n")
        pattern = endless_server.Pattern(endless_server.CHUNKED, part)
        chunks = part.count(b"0123456789abcdef")

        async def body(server):
            link = await connection.ClientConnection.open(
                ADDRESS, server.port, HEAD_BYTES
            )
            link.write(REQUEST)
            await link.read_head()
            await asyncio.sleep(10 * endless_server.PART_S)
            steps = base.LoopSteps()
            for _ in range(chunks):
                await link.read_chunk()
            link.reset()
            return steps.stop()

        # A chunk takes about 10 us, so that others wait for 1 ms at most.
        self.assertGreaterEqual(self.use(pattern, body), chunks // 100)

    def test_idle_connection_is_closed_at_the_first_byte(self):
        """Bytes on an idle connection were buffered until it expired."""
        pattern = endless_server.Pattern(
            endless_server.OK + b"content-length: 0\r\n\r\n",
            endless_server.repeated(b"z"),
        )

        async def body(server):
            target = types.Server(
                "s", "orders", ADDRESS, server.port, "zone-a", 2, False, 0.0
            )
            connections = pool.Pool(target, 4, collections.Counter())
            link = await connections.acquire()
            connections.put_idle(link)
            link.connection.writer.write(b"GET / HTTP/1.1\r\n\r\n")
            await asyncio.sleep(0.1)
            return (
                len(server.open),
                connections.has_idle(),
                len(connections.idle),
            )

        self.assertEqual((0, False, 0), self.use(pattern, body))

    def test_client_gives_up_an_endless_response(self):
        """The client of the store read informational heads to its timeout."""

        async def body(server):
            http_client = client.HttpClient(ADDRESS, server.port)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            outcome = await http_client.request("GET", "/", TIMEOUT_S)
            took_s = loop.time() - started_at
            await http_client.close()
            await asyncio.sleep(0.1)
            return outcome, took_s, len(server.open)

        pattern = endless_server.NO_ANSWER["informational"]
        outcome, took_s, still_open = self.use(pattern, body)
        self.assertIsInstance(outcome, outcomes.Lost)
        self.assertLess(took_s, TIMEOUT_S)
        self.assertEqual(0, still_open)
