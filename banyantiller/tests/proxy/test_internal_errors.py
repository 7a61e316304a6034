"""A step that raises in the daemon fails its call and nothing else."""

import asyncio
import itertools
import logging
from unittest import mock

from banyantiller.errors import ErrorKind
from banyantiller.proxy import (
    attempt,
    backend,
    call,
    caller,
    driver,
    pool,
)
from banyantiller.routing import adaptive
from banyantiller.tests import base
from banyantiller.tests.proxy import fakes

GET = (
    b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    b"X-Request-Deadline-Ms: 2000\r\n\r\n"
)
KEYED = (
    b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
    b"Connection: close\r\nIdempotency-Key: k1\r\n\r\n"
)
SLOTS = 4
CALLS = 3 * SLOTS
STEPS = (
    (attempt.Attempt, "relay"),
    (attempt.Attempt, "cancel"),
    (attempt.Attempt, "_close_stale_idle"),
    (attempt.Attempt, "_send"),
    (backend.BackendConnection, "start_exchange"),
    (backend.BackendConnection, "_can_reuse"),
    (backend.BackendConnection, "abort"),
    (call.Call, "relay_head"),
    (call.Call, "relay_data"),
    (call.Call, "relay_end"),
    (call.Call, "relay_failed"),
    (call.Call, "refuse"),
    (call.Call, "fail"),
    (call.Call, "build_backend_request"),
    (caller.CallerConnection, "send_head"),
    (caller.CallerConnection, "send_local_response"),
    (caller.CallerConnection, "response_done"),
    (caller.CallerConnection, "reset"),
    (pool.Pool, "acquire"),
    (pool.Pool, "release"),
    (pool.Pool, "open_connection"),
    (pool.Pool, "close_stale_idle"),
    (driver.ServiceDriver, "_relay"),
    (driver.ServiceDriver, "_cancel"),
    (driver.ServiceDriver, "_refuse"),
)
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def failing(*args, **kwargs):
    raise RuntimeError("a step fails")


class Script:
    """Sends a complete or truncated response, closes, or stalls, in turn."""

    def __init__(self) -> None:
        self.healthy = False
        self.pending_responses = itertools.cycle(
            (COMPLETE, COMPLETE[:-1], b"", None)
        )

    async def __call__(self, connection: fakes.FakeConnection) -> None:
        while True:
            await connection.message()
            response = (
                COMPLETE if self.healthy else next(self.pending_responses)
            )
            if response is None:
                await asyncio.sleep(5.0)
                return
            await connection.send(response)
            if response != COMPLETE:
                return


async def exchange_until_closed(bench: fakes.Bench) -> None:
    try:
        await bench.exchange(GET, wait_s=10.0)
    except (TimeoutError, ConnectionError):
        pass


class InternalErrorsTest(base.TestCase):
    def setUp(self) -> None:
        super().setUp()
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def check(self, fault: mock._patch, script: Script) -> None:
        bench = await fakes.Bench.start(
            script, create=adaptive.create, slots=SLOTS
        )
        with fault:
            for _ in range(CALLS // SLOTS):
                await asyncio.gather(
                    *(exchange_until_closed(bench) for _ in range(SLOTS))
                )
        await asyncio.sleep(30.0)
        self.assertEqual(CALLS, len(bench.finished))
        for event in bench.finished:
            self.assertIn(event.error, (None, *ErrorKind))
        running = bench.proxy.drivers["orders"]
        self.assertEqual(0, bench.proxy.in_flight)
        self.assertEqual(({}, {}), (running.calls, running.attempts))
        load = running.dispatcher.own_load(0.0)
        self.assertEqual(0, sum(load.values()))
        script.healthy = True
        responses = await asyncio.gather(
            *(bench.exchange(GET) for _ in range(SLOTS))
        )
        for response in responses:
            self.assertIn(b" 200 ", response)
        await bench.proxy.close()

    def test_failing_step_releases_its_slot(self) -> None:
        for owner, name in STEPS:
            with self.subTest(step=f"{owner.__name__}.{name}"):
                fault = mock.patch.object(owner, name, failing)
                self.run_paused(self.check(fault, Script()))

    def test_failing_call_with_a_granted_key_releases_it(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(fakes.responding())
            fault = mock.patch.object(driver.ServiceDriver, "submit", failing)
            with fault:
                response = await bench.exchange(KEYED)
            self.assertIn(b"HTTP/1.1 500 ", response)
            (event,) = bench.finished
            self.assertEqual(ErrorKind.INTERNAL, event.error)
            await asyncio.sleep(1.0)
            self.assertEqual([("release", "k1")], bench.claims.settled)
            self.assertEqual(0, bench.proxy.in_flight)
            await bench.proxy.close()

        self.run_paused(body())
