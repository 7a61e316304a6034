"""Tests of forwarding: framing, keep-alive, header fields, order."""

import asyncio

from banyantiller.tests import base
from banyantiller.tests.proxy import fakes

GET = b"GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n"
GET_CLOSE = b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
CHUNKED_POST = (
    b"POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
    b"Connection: close\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\nSum: 7\r\nContent-Length: 9\r\n\r\n"
)


def exchange(
    request: bytes, response: bytes, **changes
) -> tuple[bytes, list[bytes], fakes.Bench]:
    """Returns what the caller and the backend server received."""
    seen: list[bytes] = []

    async def body() -> tuple[bytes, list[bytes], fakes.Bench]:
        script = fakes.responding(response, seen)
        bench = await fakes.Bench.start(script, **changes)
        got = await bench.exchange(request, wait_s=15.0)
        await bench.proxy.close()
        return got, seen, bench

    return base.run_paused(body())


class ForwardTest(base.TestCase):
    def test_get_and_post_reuse_both_connections(self) -> None:
        async def body() -> None:
            seen: list[bytes] = []
            bench = await fakes.Bench.start(fakes.responding(seen=seen))
            caller = await bench.connect()
            post = (
                b"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
            )
            for request in (GET, post, GET):
                await caller.send(request)
                head, response = await caller.message()
                self.assertTrue(head.startswith(b"HTTP/1.1 200"))
                self.assertEqual(b"ok", response)
            self.assertTrue(seen[0].startswith(b"GET /a?b=c HTTP/1.1\r\n"))
            self.assertTrue(seen[1].endswith(b"\r\n\r\nabc"))
            self.assertEqual(1, len(bench.servers[0].connections))
            self.assertEqual(3, len(bench.finished))
            self.assertEqual(0, bench.proxy.in_flight)
            await bench.proxy.close()

        self.run_paused(body())

    def test_chunked_bodies_and_trailers_pass_both_ways(self) -> None:
        response = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nhi\r\n0\r\nSum: 9\r\n\r\n"
        )
        got, seen, _ = exchange(CHUNKED_POST, response)
        self.assertTrue(got.endswith(b"2\r\nhi\r\n0\r\nSum: 9\r\n\r\n"), got)
        self.assertTrue(
            seen[0].endswith(b"3\r\nabc\r\n2\r\nde\r\n0\r\nSum: 7\r\n\r\n")
        )

    def test_messages_may_arrive_in_any_chunks(self) -> None:
        response = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n0\r\n\r\n"
        )

        async def script(connection: fakes.FakeConnection) -> None:
            _, sent = await connection.message()
            self.assertTrue(sent.endswith(b"Sum: 7\r\n\r\n"), sent)
            self.assertEqual(b"abcde", bytes(c for c in sent if c in b"abcde"))
            for number in range(len(response)):
                await connection.send(response[number : number + 1])
                await asyncio.sleep(0.001)
            await connection.reader.read()

        async def body(step: int) -> None:
            bench = await fakes.Bench.start(script)
            caller = await bench.connect()
            for at in range(0, len(CHUNKED_POST), step):
                await caller.send(CHUNKED_POST[at : at + step])
                await asyncio.sleep(0.001)
            got = await caller.reader.read()
            body = got.partition(b"\r\n\r\n")[2]
            self.assertEqual(b"abc", bytes(c for c in body if c in b"abc"))
            self.assertTrue(got.endswith(b"0\r\n\r\n"), got)
            await bench.proxy.close()

        for step in (1, 2, 7):
            self.run_paused(body(step))

    def test_http_1_0_caller_gets_no_chunks_and_no_trailers(self) -> None:
        response = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nhi\r\n0\r\nSum: 9\r\n\r\n"
        )
        got, _, _ = exchange(b"GET / HTTP/1.0\r\n\r\n", response)
        head, _, rest = got.partition(b"\r\n\r\n")
        self.assertEqual(b"hi", rest)
        self.assertNotIn(b"chunked", head)

    def test_response_delimited_by_close(self) -> None:
        async def script(connection: fakes.FakeConnection) -> None:
            await connection.message()
            await connection.send(b"HTTP/1.1 200 OK\r\n\r\nto the end")

        async def body() -> None:
            bench = await fakes.Bench.start(script)
            got = await bench.exchange(GET_CLOSE)
            self.assertIn(b"\r\na\r\nto the end\r\n0\r\n\r\n", got)
            self.assertIsNone(bench.finished[0].error)
            await bench.proxy.close()

        self.run_paused(body())

    def test_responses_without_body(self) -> None:
        for method, status in ((b"HEAD", 200), (b"GET", 204), (b"GET", 304)):
            response = b"HTTP/1.1 %d X\r\nContent-Length: 5\r\n\r\n" % status
            if status == 204:
                response = b"HTTP/1.1 204 X\r\n\r\n"
            request = GET_CLOSE.replace(b"GET", method)
            got, _, bench = exchange(request, response)
            self.assertTrue(got.startswith(b"HTTP/1.1 %d X" % status))
            self.assertTrue(got.endswith(b"\r\n\r\n"))
            self.assertNotIn(b"chunked", got)
            self.assertEqual(status, bench.finished[0].status)

    def test_failure_response_to_head_has_no_body(self) -> None:
        got, _, _ = exchange(
            GET_CLOSE.replace(b"GET", b"HEAD"), b"", path="/other"
        )
        self.assertTrue(got.startswith(b"HTTP/1.1 404"))
        self.assertTrue(got.endswith(b"\r\n\r\n"))

    def test_continue_comes_from_the_backend_server(self) -> None:
        async def script(connection: fakes.FakeConnection) -> None:
            head = await connection.head()
            self.assertIn(b"Expect: 100-continue", head)
            await connection.send(b"HTTP/1.1 100 Continue\r\n\r\n")
            await connection.reader.readexactly(3)
            await connection.send(
                b"HTTP/1.1 201 X\r\nContent-Length: 0\r\n\r\n"
            )

        async def body() -> None:
            bench = await fakes.Bench.start(script)
            caller = await bench.connect()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
                b"Content-Length: 3\r\n\r\n"
            )
            self.assertIn(b" 100 ", await caller.head())
            await caller.send(b"abc")
            self.assertIn(b" 201 ", await caller.head())
            await bench.proxy.close()

        self.run_paused(body())

    def test_early_response_is_complete_and_closes_the_connection(self) -> None:
        async def script(connection: fakes.FakeConnection) -> None:
            await connection.head()
            await connection.send(
                b"HTTP/1.1 403 X\r\nContent-Length: 2\r\n\r\nno"
            )
            await connection.reader.read()

        async def body() -> None:
            bench = await fakes.Bench.start(script)
            got = await bench.exchange(
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab"
            )
            self.assertIn(b" 403 ", got)
            self.assertIn(b"Connection: close", got)
            self.assertTrue(got.endswith(b"no"))
            self.assertIsNone(bench.finished[0].error)
            pool = bench.proxy.drivers["orders"].pools["server-9001"]
            self.assertEqual([], pool.idle)
            await bench.proxy.close()

        self.run_paused(body())

    def test_early_hints_are_relayed_but_not_to_http_1_0(self) -> None:
        response = (
            b"HTTP/1.1 103 Hints\r\nLink: </s>\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        )
        got, _, _ = exchange(GET_CLOSE, response)
        self.assertTrue(got.startswith(b"HTTP/1.1 103 \r\nLink: </s>\r\n\r\n"))
        got, _, _ = exchange(b"GET / HTTP/1.0\r\n\r\n", response)
        self.assertTrue(got.startswith(b"HTTP/1.1 200"))

    def test_hop_by_hop_fields_are_not_forwarded(self) -> None:
        response = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: x-a\r\n"
            b"X-A: 1\r\nKeep-Alive: 5\r\nX-B: 2\r\n\r\n"
        )
        got, seen, _ = exchange(
            b"GET http://h/p?q HTTP/1.1\r\nHost: x\r\nConnection: close,Foo\r\n"
            b"Foo: 1\r\nBar: 2\r\nTE: trailers\r\nUpgrade: h2c\r\n\r\n",
            response,
        )
        sent = seen[0].lower()
        self.assertTrue(sent.startswith(b"get /p?q http/1.1\r\nhost: h\r\n"))
        for absent in (b"foo", b"upgrade", b"connection", b"te:"):
            self.assertNotIn(absent, sent)
        for present in (
            b"bar: 2",
            b"via: 1.1 daemon-1",
            b"x-request-id: ",
            b"traceparent: 00-",
            b"x-request-deadline-ms: 10000",
        ):
            self.assertIn(present, sent)
        self.assertNotIn(b"x-a", got.lower())
        self.assertNotIn(b"Keep-Alive", got)
        self.assertIn(b"X-B: 2", got)
        self.assertIn(b"Via: 1.1 daemon-1", got)

    def test_identifiers_and_deadline_are_forwarded(self) -> None:
        trace = b"traceparent: 00-%032x-%016x-01" % (7, 8)
        got, seen, bench = exchange(
            b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            b"X-Request-Id: me\r\nX-Request-Deadline-Ms: 700\r\n"
            + trace
            + b"\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        )
        self.assertIn(b"x-request-id: me", seen[0])
        self.assertIn(b"x-request-deadline-ms: 700", seen[0])
        self.assertIn(trace, seen[0])
        self.assertIn(b"x-request-id: me", got)
        self.assertEqual("me", bench.finished[0].request_id)

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        async def script(connection: fakes.FakeConnection) -> None:
            while True:
                head = await connection.head()
                path = head.split()[1]
                # The first response takes longest.
                await asyncio.sleep(0.3 if path == b"/0" else 0.01)
                await connection.send(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + path
                )

        async def body() -> None:
            bench = await fakes.Bench.start(script)
            requests = [
                b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % n for n in range(5)
            ]
            caller = await bench.connect()
            await caller.send(b"".join(requests))
            for n in range(5):
                _, response = await caller.message()
                self.assertEqual(b"/%d" % n, response)
            await bench.proxy.close()

        self.run_paused(body())

    def test_responses_are_not_mixed_up_between_callers(self) -> None:
        async def script(connection: fakes.FakeConnection) -> None:
            while True:
                head, sent = await connection.message()
                path = head.split()[1]
                number = int(path[1:])
                await asyncio.sleep(number * 7 % 11 / 100)
                await connection.send(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
                    % (len(path + sent), path + sent)
                )

        async def run_caller(bench: fakes.Bench, number: int) -> None:
            caller = await bench.connect()
            for _ in range(3):
                await caller.send(
                    b"POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"
                    % number
                )
                await asyncio.sleep(number % 3 / 100)
                await caller.send(b"%04d" % number)
                if number % 5 == 4:
                    caller.reset()
                    return
                _, response = await caller.message()
                self.assertEqual(b"/%d%04d" % (number, number), response)

        async def body() -> None:
            bench = await fakes.Bench.start(script, connections=7)
            await asyncio.gather(*(run_caller(bench, n) for n in range(60)))
            self.assertEqual(0, bench.proxy.in_flight)
            await bench.proxy.close()

        self.run_paused(body())

    def test_more_than_the_declared_length_is_not_relayed(self) -> None:
        async def script(connection: fakes.FakeConnection) -> None:
            while True:
                await connection.message()
                await connection.send(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
                )

        async def body() -> None:
            bench = await fakes.Bench.start(script)
            caller = await bench.connect()
            for _ in range(3):
                await caller.send(GET)
                self.assertEqual(b"ok", (await caller.message())[1])
            self.assertEqual(3, len(bench.servers[0].connections))
            await bench.proxy.close()

        self.run_paused(body())

    def test_truncated_response_is_cut(
        self,
    ) -> None:
        for framing in (b"Content-Length: 9", b"Transfer-Encoding: chunked"):

            async def script(
                connection: fakes.FakeConnection, framing: bytes = framing
            ) -> None:
                await connection.message()
                await connection.send(
                    b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n3\r\nabc\r\n"
                )
                await asyncio.sleep(0.1)

            async def body(script: fakes.Script = script) -> None:
                bench = await fakes.Bench.start(script)
                got = await bench.exchange(GET_CLOSE)
                self.assertIn(b" 200 ", got)
                self.assertNotIn(b"0\r\n\r\n", got)
                event = bench.finished[0]
                self.assertTrue(event.cut)
                self.assertEqual("backend_incomplete", event.error)
                await bench.proxy.close()

            self.run_paused(body())

    def test_idle_caller_is_closed_without_a_response(self) -> None:
        async def body() -> None:
            settings = fakes.make_settings(idle_timeout_s=3.0)
            bench = await fakes.Bench.start(
                fakes.responding(), settings=settings
            )
            caller = await bench.connect()
            await caller.send(GET)
            await caller.message()
            self.assertEqual(b"", await caller.reader.read())
            self.assertEqual(1, len(bench.finished))
            await bench.proxy.close()

        self.run_paused(body())
