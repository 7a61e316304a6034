"""Tests of the memory that large requests take."""

import asyncio
import hashlib
import tracemalloc

from banyantiller.http import connection, messages
from banyantiller.tests import base
from banyantiller.tests.gateway import harness

BODY_BYTES = 8 << 20
# Memory beside the body itself, for parts that are on the way.
MAX_OVERHEAD_BYTES = 2 << 20


class LargeRequestTest(base.TestCase):
    """Guards against copies of a body that exceed the memory of a VM."""

    def test_body_is_not_copied_while_the_server_reads_nothing(self):
        async def body():
            accepted = asyncio.Event()

            async def read_nothing(reader, writer):
                accepted.set()
                await asyncio.sleep(3600)

            server = await asyncio.start_server(
                read_nothing, harness.ADDRESS, 0, limit=1024
            )
            port = server.sockets[0].getsockname()[1]
            link = await connection.ClientConnection.open(
                harness.ADDRESS, port, 65536
            )
            content = bytearray(BODY_BYTES)
            await accepted.wait()
            tracemalloc.start()
            link.write(_request(content))
            await asyncio.sleep(0.5)
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            link.close()
            server.close()
            return peak

        self.assertLess(asyncio.run(body()), MAX_OVERHEAD_BYTES)

    def test_body_arrives_complete_at_a_slow_server(self):
        async def body():
            received = hashlib.sha256()
            done = asyncio.Event()

            async def read_slowly(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                left = BODY_BYTES
                while left:
                    data = await reader.read(100_000)
                    received.update(data)
                    left -= len(data)
                    await asyncio.sleep(0)
                done.set()

            server = await asyncio.start_server(read_slowly, harness.ADDRESS, 0)
            port = server.sockets[0].getsockname()[1]
            link = await connection.ClientConnection.open(
                harness.ADDRESS, port, 65536
            )
            content = bytes(range(256)) * (BODY_BYTES // 256)
            link.write(_request(content))
            async with asyncio.timeout(30):
                await done.wait()
            link.close()
            server.close()
            return content, received

        content, received = asyncio.run(body())
        self.assertEqual(
            hashlib.sha256(content).hexdigest(), received.hexdigest()
        )

    def test_connection_is_not_reused_before_the_body_was_sent(self):
        async def body():
            async def reject(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")
                await asyncio.sleep(3600)

            server = await asyncio.start_server(
                reject, harness.ADDRESS, 0, limit=1024
            )
            port = server.sockets[0].getsockname()[1]
            link = await connection.ClientConnection.open(
                harness.ADDRESS, port, 65536
            )
            link.write(_request(bytes(BODY_BYTES)))
            response = await link.read_head()
            await link.read_body(1000)
            reusable = link.ready_again()
            link.close()
            server.close()
            return response.status, reusable

        self.assertEqual((503, False), asyncio.run(body()))


def _request(content):
    fields = (("host", "a"), ("content-length", str(len(content))))
    return messages.Request("POST", "/", fields, content)
