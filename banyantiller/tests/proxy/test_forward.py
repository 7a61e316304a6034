"""Tests of forwarding: framing, keep-alive, header fields."""

from banyantiller.tests import base
from banyantiller.tests.proxy import fakes

GET = b"GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n"
LAST = b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


class ForwardTest(base.TestCase):
    def test_get_and_post_reuse_both_connections(self) -> None:
        async def body() -> None:
            seen: list[bytes] = []
            bench = await fakes.Bench.start(fakes.answering(seen=seen))
            caller = await bench.connect()
            post = (
                b"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
            )
            for request in (GET, post, GET):
                await caller.send(request)
                head, answer = await caller.message()
                self.assertTrue(head.startswith(b"HTTP/1.1 200"))
                self.assertEqual(b"ok", answer)
            self.assertTrue(seen[0].startswith(b"GET /a?b=c HTTP/1.1\r\n"))
            self.assertTrue(seen[1].endswith(b"\r\n\r\nabc"))
            self.assertEqual(1, len(bench.servers[0].connections))
            self.assertEqual(3, len(bench.finished))
            self.assertEqual(0, bench.proxy.in_flight)
            await bench.proxy.close()

        self.run_paused(body())
