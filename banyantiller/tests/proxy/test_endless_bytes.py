"""Tests of servers and callers of the proxy that send bytes without end."""

import asyncio

import h11

from banyantiller.proxy import buffers
from banyantiller.routing import types
from banyantiller.tests import base
from banyantiller.tests.proxy import fakes
from standins import endless_server

REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED_REQUEST = (
    b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
)
# Longer than it takes to find that a message does not end.
SEND_S = 1.0
MAX_SENT_BYTES = 1 << 20
# Bodies of any size are relayed, as the caller decides when to close.
RELAYED = ("body without length", "large chunks")
SMALL_CHUNK = b"10\r\n0123456789abcdef\r\n"
# A chunk takes about 10 us, so that others wait for 1 ms at most.
MAX_CHUNKS_PER_STEP = 100


def endless(pattern: endless_server.Pattern, sent: list[int]) -> fakes.Script:
    """Returns a script that sends a pattern and adds the bytes to `sent`."""

    async def script(connection: fakes.FakeConnection) -> None:
        await connection.head()
        writer = connection.writer
        writer.write(pattern.begin)
        sent.append(await endless_server.send(writer, pattern.part, SEND_S))

    return script


async def read_only(connection: fakes.FakeConnection) -> None:
    """Reads a request without an end."""
    while await connection.reader.read(buffers.READ_BYTES):
        pass


class EndlessBytesTest(base.TestCase):
    def call(self, pattern: endless_server.Pattern) -> tuple[int, bool]:
        """Calls a server that sends a pattern; returns the bytes sent.

        The second result is whether the call has ended.
        """
        sent = []
        script = endless(pattern, sent)

        async def body() -> bool:
            bench = await fakes.Bench.start(script)
            caller = await bench.connect()
            await caller.send(REQUEST)
            reading = asyncio.ensure_future(caller.reader.read())
            await asyncio.sleep(SEND_S + 0.5)
            reading.cancel()
            ended = bool(bench.finished)
            await bench.proxy.close()
            return ended

        ended = self.run_paused(body())
        return sum(sent), ended

    def test_endless_response_is_given_up_by_size(self) -> None:
        """Informational heads and tiny chunks were relayed without end."""
        for name, pattern in endless_server.NO_ANSWER.items():
            if name in RELAYED:
                continue
            sent, ended = self.call(pattern)
            self.assertTrue(ended, name)
            self.assertLess(sent, MAX_SENT_BYTES, name)

    def test_endless_request_is_given_up_by_size(self) -> None:
        """Tiny chunks were read until the body's timeout."""
        parts = (b"1\r\nx\r\n", b"1;" + b"e" * 8000 + b"\r\nx\r\n")

        async def body(part: bytes) -> tuple[int, bytes]:
            bench = await fakes.Bench.start(read_only)
            caller = await bench.connect()
            caller.writer.write(CHUNKED_REQUEST)
            sent = await endless_server.send(caller.writer, part, SEND_S)
            line = await caller.reader.readline()
            await bench.proxy.close()
            return sent, line

        for part in parts:
            sent, line = self.run_paused(body(part))
            self.assertIn(b"400", line)
            self.assertLess(sent, 2 * MAX_SENT_BYTES)

    def test_other_tasks_run_while_small_chunks_are_parsed(self) -> None:
        """All chunks of one read were parsed in one step of the loop."""
        chunks = buffers.READ_BYTES // len(SMALL_CHUNK)

        async def script(connection: fakes.FakeConnection) -> None:
            await connection.head()
            connection.writer.write(
                endless_server.CHUNKED + SMALL_CHUNK * chunks + b"0\r\n\r\n"
            )
            await asyncio.sleep(SEND_S)

        async def body() -> tuple[int, int]:
            received = []
            bench = await fakes.Bench.start(script)
            caller = await bench.connect()
            most = 0

            async def count() -> None:
                nonlocal most
                while True:
                    before = len(received)
                    await asyncio.sleep(0)
                    most = max(most, len(received) - before)

            original = h11.Connection.next_event

            def next_event(codec: h11.Connection) -> object:
                event = original(codec)
                if isinstance(event, h11.Data):
                    received.append(event)
                return event

            self.patch(h11.Connection, "next_event", next_event)
            counting = asyncio.ensure_future(count())
            await caller.send(
                CHUNKED_REQUEST + SMALL_CHUNK * chunks + b"0\r\n\r\n"
            )
            relayed = b""
            while not relayed.endswith(b"\r\n0\r\n\r\n"):
                relayed += await caller.reader.read(buffers.READ_BYTES)
            counting.cancel()
            await bench.proxy.close()
            return most, len(received)

        most, received = self.run_paused(body())
        # Both the request and the response consist of these chunks.
        self.assertGreater(received, chunks)
        self.assertLessEqual(most, 2 * MAX_CHUNKS_PER_STEP)

    def test_probe_with_an_endless_body_fails(self) -> None:
        """The body of the answer to a probe was read until its timeout."""
        pattern = endless_server.NO_ANSWER["body without length"]
        sent = []
        script = endless(pattern, sent)

        async def body() -> list[str]:
            bench = await fakes.Bench.start(script)
            (driver,) = bench.proxy.drivers.values()
            driver.perform([types.Probe("server-9001")])
            await asyncio.sleep(SEND_S + 0.5)
            failed = list(driver.dispatcher.failed_probes)
            await bench.proxy.close()
            return failed

        self.assertEqual(["server-9001"], self.run_paused(body()))
        self.assertLess(sum(sent), MAX_SENT_BYTES)
