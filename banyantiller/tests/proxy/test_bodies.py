"""Tests of backpressure and of the body that is buffered for a retry."""

import asyncio

from banyantiller.config.defaults import BackendSettings
from banyantiller.errors import ErrorKind
from banyantiller.proxy import buffers
from banyantiller.tests import base
from banyantiller.tests.proxy import fakes

MEGABYTE = b"x" * (1 << 20)
GET_CLOSE = b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
# The in-memory sockets of the tests buffer 64 KiB in each direction.
BOUND = buffers.HIGH_WATER_BYTES + 2 * buffers.READ_BYTES


async def big_answer(connection: fakes.FakeConnection) -> None:
    await connection.message()
    await connection.send(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(MEGABYTE)
    )
    await connection.send(MEGABYTE)
    await connection.reader.read()


class BodiesTest(base.TestCase):
    def test_slow_caller_bounds_the_buffered_response(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(big_answer)
            caller = await bench.connect()
            caller.writer.transport.pause_reading()
            await caller.send(GET_CLOSE)
            await asyncio.sleep(5)
            (connection,) = bench.proxy.callers
            buffered = connection.transport.get_write_buffer_size()
            self.assertGreater(buffered, 0)
            self.assertLessEqual(buffered, BOUND)
            caller.writer.transport.resume_reading()
            response = await caller.reader.read()
            self.assertEqual(MEGABYTE, response[-len(MEGABYTE) :])
            self.assertFalse(bench.finished[0].cut)
            await bench.proxy.close()

        self.run_paused(body())

    def test_caller_that_stops_reading_is_closed(self) -> None:
        async def body() -> None:
            settings = fakes.make_settings(write_timeout_s=3.0)
            bench = await fakes.Bench.start(big_answer, settings=settings)
            caller = await bench.connect()
            caller.writer.transport.pause_reading()
            await caller.send(GET_CLOSE)
            await asyncio.sleep(5)
            self.assertEqual(ErrorKind.CALLER_GONE, bench.finished[0].error)
            self.assertEqual(set(), bench.proxy.callers)
            await bench.proxy.close()

        self.run_paused(body())

    def test_slow_server_bounds_the_buffered_request(self) -> None:
        async def script(connection: fakes.FakeConnection) -> None:
            await connection.head()
            connection.writer.transport.pause_reading()
            await asyncio.sleep(5)
            connection.writer.transport.resume_reading()
            self.assertEqual(
                MEGABYTE, await connection.reader.readexactly(len(MEGABYTE))
            )
            await connection.send(
                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            )

        async def body() -> None:
            bench = await fakes.Bench.start(script)
            caller = await bench.connect()
            caller.writer.write(
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n"
                b"Connection: close\r\n\r\n" % len(MEGABYTE)
            )
            caller.writer.write(MEGABYTE)
            await asyncio.sleep(3)
            pool = bench.proxy.drivers["orders"].pools["server-9001"]
            (connection,) = pool.open_connections
            buffered = connection.transport.get_write_buffer_size()
            self.assertGreater(buffered, 0)
            self.assertLessEqual(buffered, BOUND)
            self.assertIn(b" 200 ", await caller.head())
            await bench.proxy.close()

        self.run_paused(body())

    def test_body_waits_for_a_server_within_the_limit(self) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(fakes.responding())
            driver = bench.proxy.drivers["orders"]
            driver.pools["server-9001"].limit = 0
            caller = await bench.connect()
            caller.writer.write(
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
                % len(MEGABYTE)
            )
            caller.writer.write(MEGABYTE)
            await asyncio.sleep(3)
            (call,) = driver.calls.values()
            self.assertLessEqual(
                call.body.size, call.body.limit + buffers.READ_BYTES
            )
            driver.pools["server-9001"].set_limit(1)
            self.assertEqual(b"ok", (await caller.message())[1])
            await bench.proxy.close()

        self.run_paused(body())

    def test_pipelined_bytes_are_bounded(self) -> None:
        async def script(connection: fakes.FakeConnection) -> None:
            await connection.message()
            await asyncio.sleep(8)

        async def body() -> None:
            bench = await fakes.Bench.start(script)
            caller = await bench.connect()
            caller.writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 40000)
            await asyncio.sleep(5)
            (connection,) = bench.proxy.callers
            buffered = len(connection.http.trailing_data[0])
            self.assertLessEqual(buffered, BOUND)
            caller.reset()
            await bench.proxy.close()

        self.run_paused(body())

    def test_responses_to_pipelined_requests_wait_for_a_slow_caller(
        self,
    ) -> None:
        async def body() -> None:
            bench = await fakes.Bench.start(
                fakes.responding(
                    b"HTTP/1.1 200 X\r\nContent-Length: 9000\r\n\r\n"
                    + MEGABYTE[:9000]
                )
            )
            caller = await bench.connect()
            caller.writer.transport.pause_reading()
            caller.writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 9000)
            await asyncio.sleep(5)
            (connection,) = bench.proxy.callers
            buffered = connection.transport.get_write_buffer_size()
            self.assertLessEqual(buffered, BOUND)
            self.assertLessEqual(len(connection.http.trailing_data[0]), BOUND)
            caller.writer.transport.resume_reading()
            for _ in range(9000):
                _, response = await caller.message()
                self.assertEqual(9000, len(response))
            await bench.proxy.close()

        self.run_paused(body())

    def test_early_response_is_complete_if_the_caller_stops_sending(
        self,
    ) -> None:
        async def script(connection: fakes.FakeConnection) -> None:
            await connection.head()
            head = b"HTTP/1.1 413 X\r\nContent-Length: 4\r\n\r\n"
            await connection.send(head + b"to")
            await asyncio.sleep(15)
            await connection.send(b"o!")
            await connection.reader.read()

        async def body() -> None:
            bench = await fakes.Bench.start(script)
            response = await bench.exchange(
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\na"
            )
            self.assertTrue(response.endswith(b"too!"), response)
            self.assertFalse(bench.finished[0].cut)
            await bench.proxy.close()

        self.run_paused(body())

    def test_body_over_the_replay_limit_is_not_retried(self) -> None:
        seen: list[bytes] = []

        async def losing(connection: fakes.FakeConnection) -> None:
            await connection.message()

        async def body(size: int) -> bytes:
            bench = await fakes.Bench.start(losing, fakes.responding(seen=seen))
            response = await bench.exchange(
                b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n"
                b"Connection: close\r\n\r\n" % size + MEGABYTE[:size]
            )
            await bench.proxy.close()
            return response

        self.assertIn(b" 200 ", self.run_paused(body(1000)))
        self.assertEqual(1, len(seen))
        self.assertIn(b" 502 ", self.run_paused(body(200000)))
        self.assertEqual(1, len(seen))

    def test_stalled_response_is_cut(self) -> None:
        async def script(connection: fakes.FakeConnection) -> None:
            await connection.message()
            await connection.send(
                b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"
            )
            await connection.reader.read()

        async def body() -> None:
            bench = await fakes.Bench.start(
                script, backends=BackendSettings(silence_s=2.0)
            )
            await bench.exchange(GET_CLOSE)
            self.assertTrue(bench.finished[0].cut)
            self.assertEqual("backend_timeout", bench.finished[0].error)
            await bench.proxy.close()

        self.run_paused(body())
