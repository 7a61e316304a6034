"""Bytes of callers and of backend servers, through a whole proxy."""

import asyncio
import itertools
import random

import h11
from hypothesis import strategies as st

from banyantiller.config import defaults
from banyantiller.errors import ERROR_RESPONSES, ErrorKind
from banyantiller.tests.base import TestCase
from banyantiller.tests.faults import seeds
from banyantiller.tests.fuzz import mutations
from banyantiller.tests.proxy import fakes

REQUESTS = (
    b"GET /orders/1 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
    b"Idempotency-Key: k1\r\n\r\nhello",
    b"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n3;x=y\r\nyou\r\n0\r\nT: u\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\n\r\nHEAD /x HTTP/1.1\r\nHost: a\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
    b"Content-Length: 2\r\n\r\nok",
    b"GET / HTTP/1.0\r\n\r\n",
)
REQUEST_TOKENS = (
    b"\r\n",
    b"\n",
    b"\x00",
    b"Content-Length: 7\r\n",
    b"Content-Length: -1\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Connection: close\r\n",
    b"Connection: upgrade\r\nUpgrade: h2c\r\n",
    b"Host: b\r\n",
    b"Grpc-Timeout: 1x\r\n",
    b"Expect: 7\r\n",
    b"traceparent: 00-zz\r\n",
    b"X: " + b"a" * 5000 + b"\r\n",
    b"ffffffffffffffffff\r\n",
    b"CONNECT a:1 HTTP/1.1\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"\xff\xfe",
)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
RESPONSES = (
    ANSWER,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\ngood\r\n0\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
    b"HTTP/1.0 200 OK\r\n\r\ngood",
    b"HTTP/1.1 503 No\r\nRequest-Not-Run: 1\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    b'HTTP/1.1 200 OK\r\nendpoint-load-metrics: JSON {"cpu": 0.5}\r\n'
    b"Content-Length: 0\r\n\r\n",
)
RESPONSE_TOKENS = (
    b"\r\n",
    b"\n",
    b"\x00",
    b"Content-Length: 3\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\n\r\n",
    b"HTTP/1.1 999 \r\n",
    b"HTTP/9.9 200\r\n",
    b"Connection: close\r\n",
    b"Retry-After: -5\r\n",
    b"Retry-After: 1e999\r\n",
    b"endpoint-load-metrics: TEXT in_flight=nan\r\n",
    b"X: " + b"a" * 5000 + b"\r\n",
    b"ffffffffffffffffff\r\n",
)
PROXY_ERRORS = {answer.proxy_error for answer in ERROR_RESPONSES.values()}
STATUSES = {answer.status for answer in ERROR_RESPONSES.values()}
CUTS = st.lists(st.integers(0, 400), max_size=3)
LONGEST_S = 300.0
SMALL = {"max_head_bytes": 2048, "max_body_bytes": 4096, "head_timeout_s": 2.0}


def pieces(data, cuts):
    """Cuts bytes into what is sent at once."""
    ends = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[a:b] for a, b in itertools.pairwise(ends)]


async def send_pieces(connection, data, cuts):
    for piece in pieces(data, cuts):
        await connection.send(piece)
        await asyncio.sleep(0.01)


async def until_idle(bench):
    """Waits until the proxy has no call, caller or running try left."""
    loop = asyncio.get_running_loop()
    begin = loop.time()
    while bench.proxy.in_flight or bench.proxy.callers:
        if loop.time() - begin > LONGEST_S:
            raise AssertionError("The proxy does not become idle.")
        await asyncio.sleep(1)


def read_answers(data):
    """Returns the answer heads that a caller can read, up to an error."""
    client = h11.Connection(h11.CLIENT)
    answers = []
    client.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    client.send(h11.EndOfMessage())
    client.receive_data(data)
    client.receive_data(b"")
    while True:
        try:
            event = client.next_event()
        except h11.RemoteProtocolError:
            break
        if isinstance(event, h11.Response):
            answers.append(event)
        if event in (h11.NEED_DATA, h11.PAUSED) or isinstance(
            event, h11.ConnectionClosed | h11.EndOfMessage
        ):
            break
    return answers


def check_error(test, response):
    """Checks that an answer that the proxy made is one of the table."""
    headers = dict(response.headers)
    status = headers.get(b"proxy-status", b"")
    if b"error=" in status:
        error = status.split(b"error=")[1].split(b";")[0].decode()
        test.assertIn(error, PROXY_ERRORS)
        test.assertIn(response.status_code, STATUSES)


class CallerBytesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.statuses = set()

    async def talk(self, data, cuts, ends):
        bench = await fakes.Bench.start(
            fakes.responding(ANSWER),
            fakes.responding(ANSWER),
            settings=fakes.make_settings(**SMALL),
        )
        caller = await bench.connect()
        try:
            await send_pieces(caller, data, cuts)
            if ends:
                caller.writer.write_eof()
        except (ConnectionError, RuntimeError, NotImplementedError):
            pass
        got = b""
        try:
            async with asyncio.timeout(LONGEST_S):
                got = await caller.reader.read()
        except ConnectionError:
            # It sent more after the proxy had answered and closed.
            pass
        caller.writer.close()
        await until_idle(bench)
        await self.still_serves(bench)
        await bench.proxy.close()
        return got

    async def still_serves(self, bench):
        got = await bench.exchange(
            b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        )
        self.assertIn(b"200 OK", got.splitlines()[0])
        self.assertTrue(got.endswith(b"good"))

    def check(self, data, cuts, ends):
        got = self.run_paused(self.talk(data, cuts, ends))
        if got:
            for response in read_answers(got):
                check_error(self, response)
                self.statuses.add(response.status_code)

    def test_damaged_requests(self):
        data = mutations.mutated(REQUESTS, REQUEST_TOKENS)
        seeds.explore(self.check, 120, data, CUTS, st.booleans())
        self.assertEqual(set(), {200, 400} - self.statuses)

    def test_bytes(self):
        data = st.binary(min_size=1, max_size=50)
        seeds.explore(self.check, 30, data, CUTS, st.booleans())


class BackendBytesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.statuses = set()

    async def talk(self, data, cuts, closes, method):
        async def script(connection):
            while True:
                await connection.message()
                await send_pieces(connection, data, cuts)
                if closes:
                    return

        bench = await fakes.Bench.start(
            script,
            script,
            backends=defaults.BackendSettings(
                silence_s=2.0, max_head_bytes=2048
            ),
            deadline_s=5.0,
        )
        got = await bench.exchange(
            b"%s / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            b"Content-Length: 0\r\n\r\n" % method,
            LONGEST_S,
        )
        await until_idle(bench)
        await bench.proxy.close()
        return got

    def check(self, data, cuts, closes, method):
        got = self.run_paused(self.talk(data, cuts, closes, method))
        answers = read_answers(got)
        self.assertNotEqual([], answers, got)
        for response in answers:
            check_error(self, response)
            self.statuses.add(response.status_code)

    def test_damaged_answers(self):
        data = mutations.mutated(RESPONSES, RESPONSE_TOKENS)
        methods = st.sampled_from((b"GET", b"POST"))
        seeds.explore(self.check, 120, data, CUTS, st.booleans(), methods)
        self.assertEqual(set(), {200, 502} - self.statuses)

    def test_bytes(self):
        data = st.binary(max_size=50)
        methods = st.sampled_from((b"GET", b"POST"))
        seeds.explore(self.check, 30, data, CUTS, st.booleans(), methods)


class SeededAnswersTest(TestCase):
    """Many callers over few connections, with servers that fail at random."""

    async def run_fleet(self, seed):
        rng = random.Random(seed)

        async def script(connection):
            while True:
                head, body = await connection.message()
                name = head.split(b" ")[1] + body
                await asyncio.sleep(rng.choice((0, 0.01, 0.5)))
                fault = rng.random()
                if fault < 0.1:
                    connection.reset()
                    return
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
                    len(name),
                    name,
                )
                if fault < 0.2:
                    await connection.send(answer[:-2])
                    return
                if fault < 0.25:
                    await asyncio.sleep(60)
                await connection.send(answer)

        bench = await fakes.Bench.start(script, script, script, deadline_s=3.0)

        async def call(number):
            await asyncio.sleep(rng.uniform(0, 2))
            path = b"/%d" % number
            got = await bench.exchange(
                b"GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                % path,
                LONGEST_S,
            )
            return path, got

        answers = await asyncio.gather(*(call(n) for n in range(40)))
        await until_idle(bench)
        await bench.proxy.close()
        return answers

    def test_each_caller_gets_its_own_answer(self):
        for seed in seeds.seeds(10):
            for path, got in self.run_paused(self.run_fleet(seed)):
                head, _, body = got.partition(b"\r\n\r\n")
                if b" 200 " in head.splitlines()[0]:
                    self.assertTrue(path.startswith(body), (path, got))
                else:
                    self.assertIn(b"error=", head)

    def test_every_kind_has_a_row(self):
        self.assertEqual(set(ErrorKind), set(ERROR_RESPONSES))
