"""Tests of the breaches recorded when a drain reaches its limit."""

import asyncio
import types

from banyantiller.daemon import cut_calls
from banyantiller.evidence.promises import Promise
from banyantiller.kernel import events
from banyantiller.tests import base
from banyantiller.tests.proxy import fakes

GET = b"GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
CUT = Promise.SHUTDOWN_CUTS_NOTHING
TRUNCATED = Promise.WHOLE_OWN_ANSWER


class CutCallsTest(base.TestCase):
    def report_breaches(self, answer: bytes) -> list[tuple[str, str]]:
        """Returns the breaches reported for a caller that does not read."""

        async def script(connection: fakes.FakeConnection) -> None:
            await connection.head()
            await connection.send(answer)
            await asyncio.sleep(60)

        async def body() -> list[tuple[str, str]]:
            bench = await fakes.Bench.start(script)
            breaches: list[tuple[str, str]] = []
            kernel = bench.proxy.kernel
            kernel.subscribe(
                events.PromiseBroken,
                lambda event: breaches.append(
                    (event.promise, event.request_id)
                ),
            )
            caller = await bench.connect()
            caller.writer.transport.pause_reading()
            await caller.send(GET)
            await asyncio.sleep(1)
            cut_calls.report(
                types.SimpleNamespace(
                    proxy=bench.proxy, kernel=kernel, wall=lambda: 0.0
                )
            )
            await bench.proxy.close()
            return breaches

        return self.run_paused(body())

    def test_call_without_a_response(self) -> None:
        self.assertEqual([(CUT, "r1")], self.report_breaches(b""))

    def test_response_that_had_begun(self) -> None:
        breaches = self.report_breaches(HEAD % 2 + b"o")
        self.assertEqual([(CUT, "r1"), (TRUNCATED, "r1")], breaches)

    def test_complete_response_that_the_caller_has_not_read(self) -> None:
        size = 96 * 1024
        breaches = self.report_breaches(HEAD % size + bytes(size))
        self.assertEqual([(CUT, ""), (TRUNCATED, "")], breaches)

    def test_idle_connection(self) -> None:
        self.assertEqual([], self.report_breaches(HEAD % 2 + b"ok"))
