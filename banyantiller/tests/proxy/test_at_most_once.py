"""Tests of which requests are retried, where, and what the caller gets."""

import asyncio
import contextlib
from unittest import mock

from banyantiller.bundle import options
from banyantiller.claims.types import RecordedResponse
from banyantiller.proxy import attempt, call, driver
from banyantiller.tests import base
from banyantiller.tests.proxy import fakes

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
GET = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
POST = (
    b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
    b"Connection: close\r\n\r\nabc"
)
KEYED = POST.replace(b"Host: x", b"Host: x\r\nIdempotency-Key: k1")
NOT_RUN = (
    b"HTTP/1.1 503 X\r\nRequest-Not-Run: 1\r\nRetry-After: 3\r\n"
    b"Content-Length: 0\r\n\r\n"
)


def crashing(when: str, seen: list[bytes]) -> fakes.Script:
    """Returns a script of a server that crashes at one point of an exchange."""

    async def script(connection: fakes.FakeConnection) -> None:
        if when == "before the request":
            connection.reset()
            return
        head = await connection.head()
        seen.append(head)
        if when == "amid the request":
            connection.reset()
            return
        if b"content-length" in head.lower():
            await connection.reader.readexactly(3)
        if when == "after the request":
            return
        if when == "amid the response head":
            await connection.send(OK[:10])
            return
        if when == "after the response head":
            await connection.send(OK[:-2])
            return
        await connection.send(OK[:-1])

    return script


CRASH_POINTS = (
    "before the request",
    "amid the request",
    "after the request",
    "amid the response head",
    "after the response head",
    "amid the response body",
)


class AtMostOnceTest(base.TestCase):
    def exchange(
        self, request: bytes, first: fakes.Script | None, second: fakes.Script
    ) -> tuple[bytes, fakes.Bench]:
        async def body() -> tuple[bytes, fakes.Bench]:
            bench = await fakes.Bench.start(first, second)
            response = await bench.exchange(request, wait_s=20)
            await asyncio.sleep(0.1)
            await bench.proxy.close()
            return response, bench

        return self.run_paused(body())

    def test_non_idempotent_request_is_not_sent_twice(self) -> None:
        for when in CRASH_POINTS:
            for request in (POST, KEYED):
                first: list[bytes] = []
                second: list[bytes] = []
                response, bench = self.exchange(
                    request, crashing(when, first), fakes.responding(OK, second)
                )
                self.assertLessEqual(len(first) + len(second), 1, when)
                self.assertEqual([], second, when)
                if when in CRASH_POINTS[4:]:
                    self.assertTrue(bench.finished[0].cut, when)
                else:
                    self.assertIn(b"request-ran: unknown", response, when)

    def test_idempotent_request_is_retried_until_a_response_began(
        self,
    ) -> None:
        for when in CRASH_POINTS:
            second: list[bytes] = []
            response, bench = self.exchange(
                GET, crashing(when, []), fakes.responding(OK, second)
            )
            if when in CRASH_POINTS[4:]:
                self.assertEqual([], second, when)
                self.assertTrue(bench.finished[0].cut, when)
            else:
                self.assertEqual(1, len(second), when)
                self.assertIn(b"200", response, when)
                self.assertEqual(2, bench.finished[0].attempts, when)

    def test_request_that_was_not_run_is_retried(self) -> None:
        for first in (None, fakes.responding(NOT_RUN)):
            for request in (GET, POST, KEYED):
                second: list[bytes] = []
                response, _ = self.exchange(
                    request, first, fakes.responding(OK, second)
                )
                self.assertIn(b" 200 ", response)
                self.assertEqual(1, len(second))

    def test_retry_after_of_a_server_may_be_a_fraction_of_a_second(
        self,
    ) -> None:
        for text, expected in ((b"2.5", 2.5), (b"3", 3.0), (b"soon", None)):
            refusal = fakes.responding(
                NOT_RUN.replace(b"After: 3", b"After: " + text)
            )
            with mock.patch.object(
                fakes.RoundRobin,
                "attempt_head",
                autospec=True,
                side_effect=fakes.RoundRobin.attempt_head,
            ) as attempt_head:
                self.exchange(GET, refusal, refusal)
            result = attempt_head.call_args.args[2]
            self.assertEqual(expected, result.retry_after_s)

    def test_body_that_exceeds_the_limit_midway_may_have_run(self) -> None:
        async def body() -> None:
            settings = fakes.make_settings(max_body_bytes=4)
            bench = await fakes.Bench.start(
                fakes.responding(), settings=settings
            )
            caller = await bench.connect()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: x\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
            )
            await asyncio.sleep(0.1)
            await caller.send(b"3\r\ndef\r\n")
            head = await caller.head()
            self.assertIn(b" 413 ", head)
            self.assertIn(b"request-ran: unknown", head)
            await bench.proxy.close()

        self.run_paused(body())

    def test_keyed_request_gets_100_continue_at_once(self) -> None:
        async def body() -> None:
            seen: list[bytes] = []
            bench = await fakes.Bench.start(fakes.responding(OK, seen))
            caller = await bench.connect()
            head, _, sent = KEYED.partition(b"\r\n\r\n")
            await caller.send(head + b"\r\nExpect: 100-continue\r\n\r\n")
            self.assertIn(b" 100 ", await caller.head())
            self.assertEqual([], seen)
            await caller.send(sent)
            self.assertEqual(b"ok", (await caller.message())[1])
            self.assertNotIn(b"Expect", seen[0])
            await bench.proxy.close()

        self.run_paused(body())

    def test_claim_has_the_normalized_host(self) -> None:
        async def claimed_host(request: bytes) -> str:
            bench = await fakes.Bench.start(fakes.responding(OK))
            with mock.patch.object(
                bench.claims, "claim", wraps=bench.claims.claim
            ) as claim:
                await bench.exchange(request)
            await bench.proxy.close()
            return claim.call_args.args[0].host

        for line in (b"Host: x", b"Host: X:80", b"Host: x:8080"):
            request = KEYED.replace(b"Host: x", line)
            self.assertEqual("x", self.run_paused(claimed_host(request)))

    def test_503_without_the_not_run_header_is_relayed(self) -> None:
        busy = b"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy"
        second: list[bytes] = []
        response, _ = self.exchange(
            POST, fakes.responding(busy), fakes.responding(OK, second)
        )
        self.assertTrue(response.endswith(b"busy"))
        self.assertEqual([], second)

    def test_not_run_is_reported_only_if_no_attempt_may_have_run(self) -> None:
        response, _ = self.exchange(
            GET, crashing("after the request", []), fakes.responding(NOT_RUN)
        )
        self.assertIn(b"request-ran: unknown", response)
        self.assertNotIn(b"Retry-After", response)
        response, _ = self.exchange(
            POST, fakes.responding(NOT_RUN), fakes.responding(NOT_RUN)
        )
        self.assertIn(b"request-ran: no", response)

    def test_claim_is_settled_by_the_outcome(self) -> None:
        big = b"HTTP/1.1 200 X\r\nContent-Length: 20000\r\n\r\n" + b"x" * 20000
        cases = (
            (fakes.responding(OK), "finish", b"ok"),
            (fakes.responding(big), "finish", None),
            (crashing("amid the response body", []), "finish", None),
            (crashing("after the request", []), "mark_unknown", None),
            (fakes.responding(NOT_RUN), "release", None),
            (None, "release", None),
        )
        for script, expected, expected_body in cases:
            _, bench = self.exchange(KEYED, script, fakes.responding(NOT_RUN))
            ((action, key, *rest),) = bench.claims.settled
            self.assertEqual((expected, "k1"), (action, key))
            if expected == "finish":
                self.assertEqual(
                    (200, expected_body), (rest[0].status, rest[0].body)
                )

    def test_claim_of_a_request_that_ran_is_not_released_on_errors(
        self,
    ) -> None:
        async def settled(owner: type, name: str) -> list[str]:
            bench = await fakes.Bench.start(fakes.responding(OK))
            fault = mock.patch.object(owner, name, side_effect=RuntimeError)
            with fault, contextlib.suppress(TimeoutError, ConnectionError):
                await bench.exchange(KEYED, wait_s=10)
            await asyncio.sleep(0.1)
            await bench.proxy.close()
            return [item[0] for item in bench.claims.settled]

        for owner, name in (
            (fakes.RoundRobin, "attempt_head"),
            (driver.ServiceDriver, "_relay"),
            (attempt.Attempt, "relay"),
            (call.Call, "relay_head"),
        ):
            found = self.run_paused(settled(owner, name))
            self.assertEqual(["mark_unknown"], found, name)

    def test_claim_of_a_disconnected_caller_is_released(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(fakes.responding(OK))
            caller = await bench.connect()
            await caller.send(KEYED)
            await asyncio.sleep(0.0005)
            caller.reset()
            await asyncio.sleep(1)
            self.assertEqual([("release", "k1")], bench.claims.settled)
            self.assertEqual([], bench.servers[0].connections)
            await bench.proxy.close()

        self.run_paused(body())

    def test_repeated_request_gets_the_recorded_response(self) -> None:
        async def body() -> None:
            seen: list[bytes] = []
            bench = await fakes.Bench.start(fakes.responding(OK, seen))
            first = await bench.exchange(KEYED)
            again = await bench.exchange(KEYED)
            self.assertEqual(1, len(seen))
            self.assertNotIn(b"idempotency-replayed", first)
            self.assertIn(b"idempotency-replayed: true", again)
            self.assertTrue(again.endswith(b"\r\n\r\nok"))
            bench.claims.responses["k1"] = RecordedResponse(200, (), None)
            unrecorded = await bench.exchange(KEYED)
            self.assertIn(b" 409 ", unrecorded)
            self.assertIn(b"request-ran: yes", unrecorded)
            self.assertIn(b'details="key_already_run"', unrecorded)
            await bench.proxy.close()

        self.run_paused(body())

    def test_fingerprint_does_not_depend_on_how_a_body_is_split(
        self,
    ) -> None:
        body = bytes(range(65, 105))

        async def fingerprint(*sizes: int) -> str:
            settings = fakes.make_settings(replay_bytes=10)
            bench = await fakes.Bench.start(
                fakes.responding(OK), settings=settings
            )
            with mock.patch.object(
                bench.claims, "claim", wraps=bench.claims.claim
            ) as claim:
                caller = await bench.connect()
                length = b"Content-Length: %d" % len(body)
                head = KEYED.removesuffix(b"abc")
                await caller.send(head.replace(b"Content-Length: 3", length))
                sent = 0
                for size in sizes:
                    await caller.send(body[sent : sent + size])
                    await asyncio.sleep(0.1)
                    sent += size
                await caller.reader.read()
            await bench.proxy.close()
            return claim.call_args.args[0].fingerprint

        expected = self.run_paused(fingerprint(len(body)))
        for sizes in ((6, 6, 28), (10, 1, 29), (11, 29)):
            self.assertEqual(expected, self.run_paused(fingerprint(*sizes)))

    def test_non_idempotent_request_avoids_long_idle_connections(
        self,
    ) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(fakes.responding(OK))
            for pause, request, connections in (
                (0.0, POST, 1),
                (0.5, POST, 1),
                (1.5, GET, 1),
                (1.5, POST, 2),
            ):
                await asyncio.sleep(pause)
                await bench.exchange(request)
                got = len(bench.servers[0].connections)
                self.assertEqual(connections, got, (pause, request))
            await bench.proxy.close()

        self.run_paused(body())

    def test_unresponsive_connection_closes_other_idle_ones(self) -> None:
        unresponsive = False

        async def script(connection: fakes.FakeConnection) -> None:
            while True:
                await connection.message()
                if unresponsive and connection in old:
                    await asyncio.sleep(1000)
                await asyncio.sleep(0.01)
                await connection.send(OK)

        old: list[fakes.FakeConnection] = []

        async def body() -> None:
            nonlocal unresponsive
            bench = await fakes.Bench.start(script)
            await asyncio.gather(*(bench.exchange(GET) for _ in range(4)))
            old.extend(bench.servers[0].connections)
            self.assertEqual(4, len(old))
            unresponsive = True
            short_deadline = GET.replace(
                b"Host", b"X-Request-Deadline-Ms: 500\r\nHost"
            )
            self.assertIn(b" 504 ", await bench.exchange(short_deadline))
            # The other three idle connections would be unresponsive as well.
            self.assertIn(b" 200 ", await bench.exchange(short_deadline))
            await bench.proxy.close()

        self.run_paused(body())

    def test_ambiguous_paths_are_not_idempotent(self) -> None:
        async def body() -> None:
            rules = (options.RequestRule(True, path="/read"),)
            bench = await fakes.Bench.start(fakes.responding(OK))
            service = fakes.make_service([9001])._replace(requests=rules)
            bench.proxy.apply(options.Bundle((service,)), 2, 1000.0)
            for path, idempotent in (
                (b"/read/a?x=/../y", True),
                (b"/readme", False),
                (b"/read/../pay", False),
                (b"/read/%2e%2e/pay", False),
                (b"/read//pay", False),
                (b"/read/..;/pay", False),
                (b"/read/pay;v=1", False),
                (b"/read/pay#x", False),
            ):
                await bench.exchange(GET.replace(b"GET /", b"GET " + path))
                got = bench.finished[-1].idempotent
                self.assertEqual(idempotent, got, path)
            await bench.proxy.close()

        self.run_paused(body())
