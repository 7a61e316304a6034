"""Tests of the options of a client connection, on real sockets."""

import asyncio
import socket

from banyantiller.http import connection, messages
from banyantiller.tests import base

ADDRESS = "127.0.0.1"
SILENCE_S = 3
REQUEST = messages.Request("GET", "/", (("host", "a"),))


class ConnectionTest(base.TestCase):
    def use(self, body, source=""):
        """Runs `body(client, reader)` with both ends of a connection."""

        async def whole():
            accepted = asyncio.Queue()
            listener = await asyncio.start_server(
                lambda reader, _: accepted.put(reader), ADDRESS, 0
            )
            port = listener.sockets[0].getsockname()[1]
            link = await connection.ClientConnection.open(
                ADDRESS, port, 65536, source=source
            )
            reader = await accepted.get()
            try:
                return await body(link, reader)
            finally:
                link.close()
                listener.close()

        return asyncio.run(whole())

    def test_keep_alive_gives_up_with_tcp_user_timeout(self):
        async def body(link, _):
            link.abort_when_unresponsive(SILENCE_S)
            raw = link.writer.get_extra_info("socket")
            return [
                raw.getsockopt(socket.IPPROTO_TCP, option)
                for option in (
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_KEEPCNT,
                    socket.TCP_USER_TIMEOUT,
                )
            ]

        idle_s, interval_s, count, timeout_ms = self.use(body)
        self.assertEqual(SILENCE_S * 1000, timeout_ms)
        self.assertEqual(SILENCE_S, idle_s + count * interval_s)

    def test_connection_comes_from_the_source_address(self):
        async def body(link, _):
            return link.writer.get_extra_info("sockname")[0]

        self.assertEqual("127.0.0.9", self.use(body, "127.0.0.9"))

    def test_request_that_is_given_up_is_reset(self):
        async def body(link, reader):
            link.write(REQUEST)
            await reader.readuntil(b"\r\n\r\n")
            link.reset()
            await reader.read()

        self.assertRaises(ConnectionResetError, self.use, body)

    def test_idle_connection_is_closed_without_a_reset(self):
        async def body(link, reader):
            link.close()
            return await reader.read()

        self.assertEqual(b"", self.use(body))
