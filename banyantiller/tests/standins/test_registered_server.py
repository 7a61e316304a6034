"""Tests of the stand-in of a registered server, on real sockets."""

import asyncio

from banyantiller.tests import base
from standins import registered_server

ADDRESS = "127.0.0.1"
REQUEST = b"GET /x HTTP/1.1\r\nhost: a\r\nattempt-id: r\r\n\r\n"


class EndlessBodyTest(base.TestCase):
    """Guards against a body without end that ends as if it were complete."""

    def test_connection_is_reset_when_the_server_stops(self):
        async def body():
            server = registered_server.RegisteredServer("s", work_s=0.01)
            server.faults.endless = "body without length"
            port = await server.start(ADDRESS)
            reader, writer = await asyncio.open_connection(ADDRESS, port)
            writer.write(REQUEST)
            await reader.readexactly(100_000)
            server.stop()
            try:
                while await reader.read(1 << 20):
                    pass
            finally:
                writer.transport.abort()

        self.assertRaises(ConnectionResetError, asyncio.run, body())
