"""Tests of resets, on real sockets, as in-memory ones can't be reset."""

import asyncio

from banyantiller.bundle import options
from banyantiller.config import defaults
from banyantiller.tests import base
from banyantiller.tests.proxy import fakes

LOOPBACK = "127.0.0.1"


class ResetTest(base.TestCase):
    def test_http_1_0_caller_detects_a_truncated_response(self) -> None:
        async def script(connection: fakes.FakeConnection) -> None:
            await connection.message()
            await connection.send(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n"
            )

        async def body() -> BaseException | None:
            backend = fakes.FakeServer(script)
            listening = await asyncio.start_server(backend.serve, LOOPBACK, 0)
            port = listening.sockets[0].getsockname()[1]
            callers = defaults.CallerSettings(defaults.Endpoint(LOOPBACK, 0))
            settings = fakes.make_settings()._replace(callers=callers)
            bench = fakes.Bench.make(settings)
            server = options.BackendServer("server-1", LOOPBACK, port)
            service = options.Service("orders", (server,))
            bench.proxy.apply(options.Bundle((service,)), 1, 1000.0)
            bound = await bench.proxy.start()
            reader, writer = await asyncio.open_connection(LOOPBACK, bound.port)
            writer.write(b"GET / HTTP/1.0\r\n\r\n")
            seen = None
            try:
                await reader.read()
            except ConnectionResetError as error:
                seen = error
            writer.close()
            await bench.proxy.close()
            listening.close()
            self.assertTrue(bench.finished[0].cut)
            return seen

        # Without a length or chunks, closing the connection ends the body;
        # a clean close would make a truncated response seem complete.
        self.assertIsNotNone(asyncio.run(body()))
