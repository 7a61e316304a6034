"""Provokes every error kind of the data path through a socket."""

import asyncio
from typing import Any, NamedTuple

from banyantiller.claims.types import Denied
from banyantiller.config.defaults import BackendSettings
from banyantiller.errors import ERROR_RESPONSES, ErrorKind, Failure, Ran
from banyantiller.tests import base
from banyantiller.tests.proxy import fakes

GET = b"GET / HTTP/1.1\r\nHost: x\r\n"
POST = b"POST / HTTP/1.1\r\nHost: x\r\n"
OK = fakes.responding()


def sending(data: bytes, reset: bool = False) -> fakes.Script:
    """Returns a script that reads a message, sends data and closes."""

    async def script(connection: fakes.FakeConnection) -> None:
        await connection.message()
        await connection.send(data)
        if reset:
            connection.reset()

    return script


async def unresponsive(connection: fakes.FakeConnection) -> None:
    await connection.message()
    await asyncio.sleep(1000)


class Case(NamedTuple):
    """One way to provoke an error kind.

    Attributes:
        kind: Error kind that the caller must get.
        request: What the caller sends.
        script: Script of the only backend server.
        callers: Changed settings of callers' connections.
        backends: Changed settings of backend connections.
        service: Changed options of the service.
        ran: Expected `Request-Ran` if it differs from the table.
    """

    error_kind: ErrorKind
    request: bytes
    script: Any = OK
    callers: dict[str, Any] = {}  # noqa: RUF012
    backends: dict[str, Any] = {}  # noqa: RUF012
    service: dict[str, Any] = {}  # noqa: RUF012
    ran: Ran | None = None


K = ErrorKind
CASES = (
    Case(K.MALFORMED_REQUEST, b"nonsense\r\n\r\n"),
    Case(K.MALFORMED_REQUEST, b"GET / HTTP/1.1\r\n\r\n"),
    Case(K.MALFORMED_REQUEST, b"GET ftp://x/ HTTP/1.1\r\nHost: x\r\n\r\n"),
    Case(K.MALFORMED_REQUEST, GET + b"bad header: x\r\n\r\n"),
    Case(K.HEAD_TOO_LARGE, GET + b"A: " + b"x" * 70000),
    Case(
        K.HEAD_TOO_LARGE,
        GET + b"A: " + b"x" * 2000 + b"\r\n\r\n",
        callers={"max_head_bytes": 1024},
    ),
    Case(
        K.AMBIGUOUS_LENGTH,
        POST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    ),
    Case(
        K.AMBIGUOUS_LENGTH,
        POST + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
    ),
    Case(K.AMBIGUOUS_LENGTH, POST + b"Content-Length: -3\r\n\r\n"),
    Case(
        K.BODY_TOO_LARGE,
        POST + b"Content-Length: 11\r\n\r\n",
        callers={"max_body_bytes": 10},
    ),
    Case(
        K.BODY_TOO_LARGE,
        POST + b"Transfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n",
        callers={"max_body_bytes": 10},
        ran=Ran.NO,
    ),
    Case(
        K.BODY_MALFORMED,
        POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    ),
    Case(
        K.BODY_MALFORMED,
        POST + b"Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
    ),
    Case(K.HEAD_TIMEOUT, GET),
    Case(
        K.BODY_TIMEOUT,
        POST + b"Content-Length: 3\r\n\r\na",
        callers={"body_timeout_s": 1.0},
    ),
    Case(K.EXPECTATION_UNSUPPORTED, POST + b"Expect: tea\r\n\r\n"),
    Case(K.METHOD_UNSUPPORTED, b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n"),
    Case(K.METHOD_UNSUPPORTED, GET + b"Upgrade: websocket\r\n\r\n"),
    Case(K.METHOD_UNSUPPORTED, POST + b"Transfer-Encoding: gzip\r\n\r\n"),
    Case(K.VERSION_UNSUPPORTED, b"GET / HTTP/2.0\r\nHost: x\r\n\r\n"),
    Case(K.UNKNOWN_SERVICE, GET + b"\r\n", service={"hosts": ("y",)}),
    Case(K.UNKNOWN_SERVICE, GET + b"\r\n", service={"path": "/a"}),
    Case(K.DEADLINE_BEFORE_START, GET + b"X-Request-Deadline-Ms: 0\r\n\r\n"),
    Case(
        K.DEADLINE_AFTER_START,
        GET + b"X-Request-Deadline-Ms: 700\r\n\r\n",
        unresponsive,
    ),
    Case(K.CONNECT_FAILED, GET + b"\r\n", None),
    Case(
        K.BACKEND_SHED,
        GET + b"\r\n",
        sending(
            b"HTTP/1.1 503 no\r\nRequest-Not-Run: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        ),
    ),
    Case(K.CONNECTION_LOST, GET + b"\r\n", sending(b"")),
    Case(K.CONNECTION_LOST, GET + b"\r\n", sending(b"", reset=True)),
    Case(K.BACKEND_MALFORMED, GET + b"\r\n", sending(b"garbage\r\n\r\n")),
    Case(
        K.BACKEND_MALFORMED,
        GET + b"\r\n",
        sending(b"HTTP/1.1 101 ok\r\n\r\n"),
    ),
    Case(K.BACKEND_INCOMPLETE, GET + b"\r\n", sending(b"HTTP/1.1 200 O")),
    Case(
        K.BACKEND_HEAD_TOO_LARGE,
        GET + b"\r\n",
        sending(b"HTTP/1.1 200 OK\r\nA: " + b"x" * 70000),
    ),
    Case(
        K.BACKEND_HEAD_TOO_LARGE,
        GET + b"\r\n",
        sending(b"HTTP/1.1 200 OK\r\nA: " + b"x" * 2000 + b"\r\n\r\n"),
        backends={"max_head_bytes": 1024},
    ),
    Case(
        K.BACKEND_TIMEOUT,
        GET + b"\r\n",
        unresponsive,
        backends={"silence_s": 2.0},
    ),
    Case(K.KEY_MISSING, POST + b"\r\n", service={"key_required": True}),
    Case(K.KEY_MALFORMED, POST + b"Idempotency-Key: a b\r\n\r\n"),
    Case(
        K.KEY_MALFORMED,
        POST + b"Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n",
    ),
)
NOT_FROM_THE_DATA_PATH = {
    # Denials of a claim, tested below.
    K.KEY_REUSED,
    K.KEY_IN_PROGRESS,
    K.KEY_OUTCOME_UNKNOWN,
}
TESTED_BELOW = {
    K.CALLER_GONE,
    K.NO_BUNDLE,
    K.FENCED,
    K.DRAINING,
    K.QUEUE_FULL,
    K.NO_SERVER,
    K.CONNECT_TIMEOUT,
    K.CLAIM_UNAVAILABLE,
    K.INTERNAL,
}
# In test_tls, test_at_most_once, daemon/test_whole_path,
# daemon/test_crashing_servers, gateway/test_access_keys and
# gateway/test_allowances.
TESTED_ELSEWHERE = {
    K.ALLOWANCE_SPENT,
    K.ALLOWANCE_UNKNOWN,
    K.UNKNOWN_KEY,
    K.QUARANTINED,
    K.TLS_FAILED,
    K.KEY_ALREADY_RUN,
    K.DEADLINE_UNREACHABLE,
}


class ErrorKindsTest(base.TestCase):
    def check(self, bench: fakes.Bench, response: bytes, case: Case) -> None:
        row = ERROR_RESPONSES[case.error_kind]
        context = f"{case.error_kind} {case.request[:70]!r}: {response!r}"
        head = response.partition(b"\r\n\r\n")[0].lower().decode()
        self.assertTrue(head.startswith(f"http/1.1 {row.status} "), context)
        self.assertIn(f"request-ran: {case.ran or row.ran}", head, context)
        self.assertIn(f"error={row.proxy_error};", head, context)
        self.assertIn(f'details="{case.error_kind}"', head, context)
        self.assertEqual(case.error_kind, bench.finished[-1].error, context)
        self.assertEqual(1, len(bench.finished), context)
        self.assertEqual(0, bench.proxy.in_flight, context)

    def test_every_kind_is_tested(self) -> None:
        tested = (
            {case.error_kind for case in CASES}
            | TESTED_BELOW
            | TESTED_ELSEWHERE
        )
        self.assertEqual(set(ErrorKind), tested | NOT_FROM_THE_DATA_PATH)

    def test_table(self) -> None:
        async def body(case: Case) -> None:
            settings = fakes.make_settings(**case.callers)
            bench = await fakes.Bench.start(
                case.script,
                settings=settings,
                backends=BackendSettings(**case.backends),
                **case.service,
            )
            response = await bench.exchange(case.request, wait_s=15.0)
            self.check(bench, response, case)
            await bench.proxy.close()

        for case in CASES:
            request = case.request
            if request.startswith((b"GET / HTTP/1.1", b"POST / HTTP/1.1")):
                first, _, rest = request.partition(b"\r\n")
                closing = first + b"\r\nConnection: close\r\n" + rest
                case = case._replace(request=closing)
            self.run_paused(body(case))

    def exchange_in_state(self, error_kind: ErrorKind, **state: Any) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(OK)
            for name, value in state.items():
                setattr(bench.proxy, name, value)
            response = await bench.exchange(GET + b"Connection: close\r\n\r\n")
            self.check(bench, response, Case(error_kind, b""))
            self.assertIn(b"Retry-After: 1", response)
            self.assertEqual([], bench.servers[0].connections)
            await bench.proxy.close()

        self.run_paused(body())

    def test_states_of_the_daemon(self) -> None:
        self.exchange_in_state(K.FENCED, fenced=True)
        self.exchange_in_state(K.NO_BUNDLE, version=0)
        self.exchange_in_state(K.DRAINING, refusing=True)

    def test_connection_above_the_limit(self) -> None:
        async def body() -> None:
            settings = fakes.make_settings(max_connections=1)
            bench = await fakes.Bench.start(OK, settings=settings)
            await bench.connect()
            response = await bench.exchange(b"")
            self.check(bench, response, Case(K.QUEUE_FULL, b""))
            await bench.proxy.close()

        self.run_paused(body())

    def test_no_server(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(OK)
            bench.proxy.server_leaving("orders", "server-9001", "vm_list")
            response = await bench.exchange(GET + b"Connection: close\r\n\r\n")
            self.check(bench, response, Case(K.NO_SERVER, b""))
            bench.proxy.server_returned("orders", "server-9001")
            response = await bench.exchange(GET + b"Connection: close\r\n\r\n")
            self.assertIn(b"200", response)
            await bench.proxy.close()

        self.run_paused(body())

    def test_connect_timeout(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(OK)

            async def never() -> None:
                await asyncio.sleep(1000)

            bench.proxy.drivers["orders"].pools[
                "server-9001"
            ].open_connection = never
            response = await bench.exchange(GET + b"Connection: close\r\n\r\n")
            self.check(bench, response, Case(K.CONNECT_TIMEOUT, b""))
            await bench.proxy.close()

        self.run_paused(body())

    def test_caller_that_disconnects_cancels_the_request(self) -> None:
        async def body() -> None:
            ended = asyncio.Event()

            async def script(connection: fakes.FakeConnection) -> None:
                await connection.message()
                await connection.reader.read()
                ended.set()

            bench = await fakes.Bench.start(script)
            caller = await bench.connect()
            await caller.send(GET + b"\r\n")
            await asyncio.sleep(0.1)
            caller.writer.close()
            await asyncio.wait_for(ended.wait(), 1)
            self.assertEqual(K.CALLER_GONE, bench.finished[-1].error)
            self.assertEqual(0, bench.proxy.in_flight)
            pool = bench.proxy.drivers["orders"].pools["server-9001"]
            self.assertEqual(set(), pool.open_connections)
            await bench.proxy.close()

        self.run_paused(body())

    def exchange_with_claim(self, error_kind: ErrorKind, outcome: Any) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(OK)
            bench.claims.outcome = outcome
            response = await bench.exchange(
                POST + b"Idempotency-Key: k\r\nConnection: close\r\n\r\n"
            )
            self.check(bench, response, Case(error_kind, b""))
            self.assertEqual([], bench.servers[0].connections)
            await bench.proxy.close()

        self.run_paused(body())

    def test_denied_claims(self) -> None:
        for error_kind in (
            K.KEY_REUSED,
            K.KEY_IN_PROGRESS,
            K.KEY_OUTCOME_UNKNOWN,
            K.CLAIM_UNAVAILABLE,
        ):
            self.exchange_with_claim(error_kind, Denied(Failure(error_kind)))

    def test_internal_error(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(OK)

            def broken(*_: Any) -> None:
                raise ValueError

            bench.proxy.drivers["orders"].dispatcher.submit = broken
            response = await bench.exchange(GET + b"Connection: close\r\n\r\n")
            self.check(bench, response, Case(K.INTERNAL, b""))
            await bench.proxy.close()

        self.run_paused(body())
