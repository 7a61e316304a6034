"""Tests of the HTTP client against the HTTP server."""

import asyncio

from banyantiller.http import client, messages, outcomes, server
from banyantiller.http import server_connection as connections
from banyantiller.tests import base
from banyantiller.utils import framing
from standins import endless_server

ADDRESS = "127.0.0.1"
# What the streams and sockets of both ends may buffer.
BUFFERED_BYTES = 1 << 19
LIMITS = messages.Limits(body_bytes=1000, head_s=2, body_s=3, idle_s=5)


class ExchangeTest(base.TestCase):
    def exchange(self, handler, use, limits=LIMITS):
        """Runs `use(client, server)` against a server with the handler."""

        async def body():
            listener = server.HttpServer(handler, limits)
            bound = await listener.start(ADDRESS, 0)
            http_client = client.HttpClient(ADDRESS, bound.port, limits)
            try:
                return await use(http_client, listener)
            finally:
                await http_client.close()
                await listener.close()

        return self.run_paused(body())

    def test_echo_over_one_connection(self):
        async def use(http_client, listener):
            first = await http_client.request(
                "POST", "/a?b=1", 1, body=b"x" * 900
            )
            second = await http_client.request("GET", "/", 1)
            return first, second, len(listener.connections)

        first, second, open_links = self.exchange(echo, use)
        self.assertEqual(b"POST /a?b=1 " + b"x" * 900, first.body)
        self.assertEqual(b"GET / ", second.body)
        self.assertEqual(1, open_links)

    def test_head_is_no_framing_of_the_body_before_it(self):
        async def use(http_client, listener):
            large = (("note", "x" * (2 * framing.MAX_FRAMING_BYTES)),)
            await http_client.request("POST", "/a", 1, body=b"x")
            return await http_client.request("GET", "/b", 1, large)

        self.assertEqual(b"GET /b ", self.exchange(echo, use).body)

    def test_bytes_after_a_rejection_are_read_up_to_a_limit(self):
        async def use(http_client, _):
            reader, writer = await asyncio.open_connection(
                ADDRESS, http_client.port
            )
            writer.write(b"no request\r\n\r\n")
            status_line = await reader.readline()
            sent = await endless_server.send(writer, b"z", 1.5)
            writer.transport.abort()
            return status_line, sent

        status_line, sent = self.exchange(echo, use)
        self.assertIn(b"400", status_line)
        limit = framing.MAX_DISCARDED_BYTES + BUFFERED_BYTES
        self.assertLess(sent, limit)

    def test_old_idle_connection_is_not_reused(self):
        async def use(http_client, listener):
            await http_client.request("GET", "/", 1)
            link = http_client.idle[0]
            await asyncio.sleep(2)
            await http_client.request("GET", "/", 1)
            return link, http_client.idle[0]

        self.assertIsNot(*self.exchange(echo, use))

    def test_unsolicited_bytes_are_not_taken_as_a_response(self):
        async def use(http_client, listener):
            await http_client.request("GET", "/", 1)
            (link,) = listener.connections
            link.writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            await asyncio.sleep(0.1)
            return await http_client.request("GET", "/mine", 1)

        self.assertEqual(b"GET /mine ", self.exchange(echo, use).body)

    def test_second_response_in_one_read_is_discarded(self):
        async def twice(reader, writer):
            while await reader.read(65536):
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na")
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb")

        async def body():
            listener = await asyncio.start_server(twice, ADDRESS, 0)
            port = listener.sockets[0].getsockname()[1]
            http_client = client.HttpClient(ADDRESS, port)
            found = [await http_client.request("GET", "/", 1) for _ in range(2)]
            await http_client.close()
            listener.close()
            return [answer.body for answer in found]

        self.assertEqual([b"a", b"a"], self.run_paused(body()))

    def test_timeout_closes_idle_connections(self):
        async def handler(request):
            await asyncio.sleep(float(request.target[1:]))
            return messages.Response(200)

        async def use(http_client, listener):
            both = [http_client.request("GET", "/0.1", 1) for _ in range(2)]
            await asyncio.gather(*both)
            idle = len(http_client.idle)
            await http_client.request("GET", "/9", 0.5)
            return idle, len(http_client.idle)

        self.assertEqual((2, 0), self.exchange(handler, use))

    def test_pipelined_requests_are_answered_in_order(self):
        async def slow(request):
            await asyncio.sleep(1)
            return messages.Response(200, (), request.target.encode())

        async def use(http_client, listener):
            reader, writer = await asyncio.open_connection(
                ADDRESS, http_client.port
            )
            for first in ("ab", "c", "d"):
                for name in first:
                    head = f"GET /{name} HTTP/1.1\r\nhost: x\r\n\r\n"
                    writer.write(head.encode())
                await asyncio.sleep(0.9)
            await asyncio.sleep(3)
            writer.close()
            return await reader.read()

        answer = self.exchange(slow, use)
        names = [line[:2] for line in answer.split(b"\r\n\r\n")[1:]]
        self.assertEqual([b"/a", b"/b", b"/c", b"/d"], names)

    def test_expect_100_continue_is_answered(self):
        async def use(http_client, listener):
            reader, writer = await asyncio.open_connection(
                ADDRESS, http_client.port
            )
            writer.write(
                b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n"
                b"expect: 100-continue\r\n\r\n"
            )
            first = await reader.readline()
            writer.write(b"x")
            await reader.readuntil(b"POST / x")
            writer.close()
            return first

        self.assertIn(b" 100 ", self.exchange(echo, use))

    def test_connections_over_the_limit_are_closed(self):
        async def use(http_client, listener):
            first = await http_client.request("GET", "/", 1)
            second = await http_client.request("GET", "/", 1, fresh=True)
            return type(first), type(second)

        limits = LIMITS._replace(connections=1)
        found = self.exchange(echo, use, limits)
        self.assertEqual((outcomes.Answered, outcomes.Lost), found)

    def test_refused_connection_is_not_sent(self):
        async def body():
            http_client = client.HttpClient(ADDRESS, 1)
            return await http_client.request("POST", "/", 1, body=b"x")

        self.assertIsInstance(self.run_paused(body()), outcomes.NotSent)

    def test_timeout_after_sending_is_lost(self):
        cancelled = []

        async def never(request):
            try:
                await asyncio.sleep(1000)
            except asyncio.CancelledError:
                cancelled.append(request.target)
                raise

        async def use(http_client, listener):
            outcome = await http_client.request("POST", "/", 1)
            await asyncio.sleep(0.1)
            return outcome

        self.assertIsInstance(self.exchange(never, use), outcomes.Lost)
        self.assertEqual(["/"], cancelled)

    def test_truncated_or_invalid_responses_are_lost(self):
        raws = (
            b"",
            b"HTTP/1.1 200 OK\r\nconte",
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nxx",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            b"SSH-2.0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n" + b"x" * 5000,
            b"HTTP/1.1 200 OK\r\na: " + b"x" * 70000,
        )

        async def use(http_client, listener):
            return [
                await http_client.request("GET", f"/{n}", 1) for n in range(7)
            ]

        async def cut(request):
            raise connections.CutError(raws[int(request.target[1:])])

        for number, outcome in enumerate(self.exchange(cut, use)):
            self.assertIsInstance(outcome, outcomes.Lost)
            self.assertEqual(number == 5, outcome.too_large)

    def test_streamed_response_is_read_in_chunks(self):
        async def count(request):
            return messages.Response(200, (), ticks())

        async def use(http_client, listener):
            stream = await http_client.stream("GET", "/", 1)
            parts = []
            while part := await stream.read():
                parts.append((part, round(asyncio.get_running_loop().time())))
            stream.close()
            return parts

        expected = [(b"0", 0), (b"1", 1), (b"2", 2)]
        self.assertEqual(expected, self.exchange(count, use))

    def test_invalid_requests_get_an_error_response(self):
        async def use(http_client, listener):
            answers = []
            for sent in (
                b"nonsense\r\n\r\n",
                b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"x" * 70000,
                b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n"
                + b"x" * 2000,
                b"GET / HTTP/1.1\r\nho",
                b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nx",
            ):
                answers.append(await raw_exchange(http_client.port, sent))
            return answers

        answers = self.exchange(echo, use)
        codes = [int(answer.split(b" ")[1]) for answer in answers]
        self.assertEqual([400, 431, 413, 408, 408], codes)

    def test_rejected_caller_may_finish_sending_its_body(self):
        async def use(http_client, listener):
            reader, writer = await asyncio.open_connection(
                ADDRESS, http_client.port
            )
            head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9000\r\n\r\n"
            writer.write(head + b"x" * 2000)
            answer = await reader.read()
            for _ in range(7):
                writer.write(b"x" * 1000)
                await asyncio.sleep(0.1)
                await writer.drain()
            writer.close()
            return answer

        self.assertIn(b" 413 ", self.exchange(echo, use))

    def test_failing_handler_gives_500_and_keeps_the_connection(self):
        async def fail(request):
            raise ValueError("broken")

        async def use(http_client, listener):
            await http_client.request("GET", "/", 1)
            return await http_client.request("GET", "/", 1)

        self.assertEqual(500, self.exchange(fail, use).response.status)

    def test_close_waits_for_requests_in_flight(self):
        async def slow(request):
            await asyncio.sleep(3)
            return messages.Response(200, body=b"done")

        async def use(http_client, listener):
            idle = await asyncio.open_connection(ADDRESS, http_client.port)
            running = asyncio.ensure_future(http_client.request("GET", "/", 9))
            await asyncio.sleep(1)
            closing = asyncio.ensure_future(listener.close(grace_s=9))
            await asyncio.sleep(0.1)
            self.assertEqual(b"", await idle[0].read())
            await closing
            self.assertEqual(3, round(asyncio.get_running_loop().time()))
            return await running, await http_client.request("GET", "/", 1)

        done, refused = self.exchange(slow, use)
        self.assertEqual(b"done", done.body)
        self.assertEqual("close", done.response.header("connection"))
        self.assertIsInstance(refused, outcomes.NotSent)

    def test_draining_server_answers_and_closes(self):
        async def use(http_client, listener):
            await http_client.request("GET", "/", 1)
            listener.drain()
            answers = [
                await http_client.request("GET", "/", 1) for _ in range(2)
            ]
            return [a.response.header("connection") for a in answers]

        self.assertEqual(["close", "close"], self.exchange(echo, use))

    def test_request_without_a_free_connection_is_not_sent(self):
        async def use(http_client, listener):
            calls = [http_client.request("GET", "/", 1) for _ in range(3)]
            return await asyncio.gather(*calls)

        async def slow(request):
            await asyncio.sleep(100)

        limits = messages.Limits(connections=2)
        found = self.exchange(slow, use, limits)
        kinds = sorted(type(outcome).__name__ for outcome in found)
        self.assertEqual(["Lost", "Lost", "NotSent"], kinds)


async def echo(request):
    text = f"{request.method} {request.target} ".encode()
    return messages.Response(200, body=text + request.body)


async def ticks():
    for number in range(3):
        yield str(number).encode()
        await asyncio.sleep(1)


async def raw_exchange(port, sent):
    """Sends bytes and reads until the remote side closes."""
    reader, writer = await asyncio.open_connection(ADDRESS, port)
    writer.write(sent)
    answer = await reader.read()
    writer.close()
    return answer
