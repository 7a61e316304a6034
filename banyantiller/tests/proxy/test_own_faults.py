"""A step of the daemon that raises costs its call and nothing else."""

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
    (attempt.Attempt, "_suspect_kin"),
    (attempt.Attempt, "_send"),
    (backend.BackendConnection, "begin"),
    (backend.BackendConnection, "_can_reuse"),
    (backend.BackendConnection, "abort"),
    (call.Call, "relay_head"),
    (call.Call, "relay_data"),
    (call.Call, "relay_end"),
    (call.Call, "broke"),
    (call.Call, "refuse"),
    (call.Call, "fail"),
    (call.Call, "backend_request"),
    (caller.CallerConnection, "send_head"),
    (caller.CallerConnection, "send_own"),
    (caller.CallerConnection, "answer_done"),
    (caller.CallerConnection, "cut"),
    (pool.Pool, "acquire"),
    (pool.Pool, "give_back"),
    (pool.Pool, "create"),
    (pool.Pool, "suspect"),
    (driver.ServiceDriver, "_relay"),
    (driver.ServiceDriver, "_cancel"),
    (driver.ServiceDriver, "_refuse"),
)
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def failing(*args, **kwargs):
    raise RuntimeError("a step fails")


class Script:
    """Answers in turn whole, half, not at all, and never."""

    def __init__(self) -> None:
        self.healthy = False
        self.turns = itertools.cycle((WHOLE, WHOLE[:-1], b"", None))

    async def __call__(self, connection: fakes.FakeConnection) -> None:
        while True:
            await connection.message()
            answer = WHOLE if self.healthy else next(self.turns)
            if answer is None:
                await asyncio.sleep(5.0)
                return
            await connection.send(answer)
            if answer != WHOLE:
                return


async def stay_until_answered(bench: fakes.Bench) -> None:
    try:
        await bench.ask(GET, wait_s=10.0)
    except (TimeoutError, ConnectionError):
        pass


class OwnFaultsTest(base.TestCase):
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
                    *(stay_until_answered(bench) for _ in range(SLOTS))
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
        answers = await asyncio.gather(*(bench.ask(GET) for _ in range(SLOTS)))
        for answer in answers:
            self.assertIn(b" 200 ", answer)
        await bench.proxy.close()

    def test_no_failing_step_keeps_a_slot(self) -> None:
        for owner, name in STEPS:
            with self.subTest(step=f"{owner.__name__}.{name}"):
                fault = mock.patch.object(owner, name, failing)
                self.run_paused(self.check(fault, Script()))

    def test_call_with_a_granted_key_ends_and_releases_it(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(fakes.answering())
            fault = mock.patch.object(driver.ServiceDriver, "submit", failing)
            with fault:
                answer = await bench.ask(KEYED)
            self.assertIn(b"HTTP/1.1 500 ", answer)
            (event,) = bench.finished
            self.assertEqual(ErrorKind.INTERNAL, event.error)
            await asyncio.sleep(1.0)
            self.assertEqual([("release", "k1")], bench.claims.settled)
            self.assertEqual(0, bench.proxy.in_flight)
            await bench.proxy.close()

        self.run_paused(body())
