"""Tests of the links that disturb connections."""

import asyncio
import socket

from banyantiller.tests import base
from soak import links, partitions
from soak.links import Link, Trouble

ADDRESS = "127.0.0.1"


class LinkTest(base.TestCase):
    def play(self, body):
        """Runs `body(link, seen)` with an echoing server behind the link."""

        async def whole():
            seen = []

            async def echo(reader, writer):
                while data := await reader.read(100):
                    seen.append(data)
                    writer.write(data)
                writer.close()

            target = await asyncio.start_server(echo, ADDRESS, 0)
            port = target.sockets[0].getsockname()[1]
            link = await Link.to(ADDRESS, port)
            try:
                return await body(link, seen)
            finally:
                await link.close()
                target.close()

        return self.run_paused(whole())

    def test_bytes_pass_both_ways(self):
        async def body(link, seen):
            reader, writer = await asyncio.open_connection(ADDRESS, link.port)
            writer.write(b"abc")
            found = await reader.read(10)
            writer.close()
            return found

        self.assertEqual(b"abc", self.play(body))

    def test_delay(self):
        async def body(link, seen):
            link.set(Trouble(delay_s=0.2))
            reader, writer = await asyncio.open_connection(ADDRESS, link.port)
            began = asyncio.get_running_loop().time()
            writer.write(b"abc")
            await reader.read(10)
            writer.close()
            return asyncio.get_running_loop().time() - began

        self.assertAlmostEqual(0.4, self.play(body), places=3)

    def test_one_way_is_held_until_it_ends(self):
        async def body(link, seen):
            reader, writer = await asyncio.open_connection(ADDRESS, link.port)
            link.set(Trouble(held_out=True))
            writer.write(b"abc")
            await asyncio.sleep(1)
            arrived = list(seen)
            waiting = asyncio.ensure_future(reader.read(10))
            await asyncio.sleep(1)
            early = waiting.done()
            link.set(Trouble())
            found = await waiting
            writer.close()
            return arrived, early, found

        self.assertEqual(([b"abc"], False, b"abc"), self.play(body))

    def test_reset_ends_open_connections_and_refused_new_ones(self):
        async def body(link, seen):
            reader, writer = await asyncio.open_connection(ADDRESS, link.port)
            writer.write(b"abc")
            await reader.read(10)
            link.reset()
            first = await _end_of(reader)
            link.set(Trouble(refused=True))
            reader, writer = await asyncio.open_connection(ADDRESS, link.port)
            return first, await _end_of(reader)

        self.assertEqual((b"", b""), self.play(body))

    def test_partition_holds_one_address_and_ends(self):
        async def body(link, seen):
            reader, writer = await asyncio.open_connection(ADDRESS, link.port)
            source = writer.get_extra_info("sockname")[0]
            link.partition("127.0.0.9", partitions.SILENT)
            writer.write(b"a")
            first = await reader.read(10)
            link.partition(source, partitions.SILENT)
            writer.write(b"b")
            await asyncio.sleep(1)
            held = list(seen)
            link.end_partition(source)
            return first, held, await reader.read(10)

        self.assertEqual((b"a", [b"a"], b"b"), self.play(body))

    def test_partition_may_leave_open_connections(self):
        async def body(link, choice):
            reader, writer = await asyncio.open_connection(ADDRESS, link.port)
            writer.write(b"a")
            await reader.read(10)
            link.partition(writer.get_extra_info("sockname")[0], choice)
            writer.write(b"b")
            first = await _end_of(reader)
            reader, _ = await asyncio.open_connection(ADDRESS, link.port)
            return first, await _end_of(reader)

        for choice, first in (
            (partitions.HALF, b"b"),
            (partitions.RESET, b""),
        ):
            found = self.play(lambda link, _, how=choice: body(link, how))
            self.assertEqual((first, b""), found)

    def test_connection_waits_until_its_target_listens(self):
        async def body(link, seen):
            link.set(Trouble(waiting=True))
            target, link.target = link.target, _unused_port()
            reader, writer = await asyncio.open_connection(ADDRESS, link.port)
            writer.write(b"abc")
            await asyncio.sleep(1)
            arrived = list(seen)
            link.target = target
            found = await reader.read(10)
            writer.close()
            return arrived, found

        self.assertEqual(([], b"abc"), self.play(body))

    def test_connection_that_waited_is_reset_when_that_ends(self):
        async def body(link, seen):
            link.set(Trouble(waiting=True))
            link.target = _unused_port()
            reader, _ = await asyncio.open_connection(ADDRESS, link.port)
            await asyncio.sleep(1)
            link.set(Trouble())
            return await _end_of(reader)

        self.assertEqual(b"", self.play(body))


def _unused_port():
    """Returns a port on which nobody listens."""
    with socket.socket() as one:
        one.bind((ADDRESS, 0))
        return one.getsockname()[1]


async def _end_of(reader):
    """Reads to the end, which may be a reset."""
    try:
        return await reader.read(10)
    except ConnectionError:
        return b""


class ResetByServerTest(base.TestCase):
    """Guards against a link that makes a broken response look complete."""

    def test_reset_of_the_server_reaches_the_other_side(self):
        async def body():
            async def reset(reader, writer):
                await reader.read(100)
                writer.write(b"half of it")
                raw = writer.get_extra_info("socket")
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, links.RESET_AT_CLOSE
                )
                await asyncio.sleep(0.1)
                writer.transport.abort()

            target = await asyncio.start_server(reset, ADDRESS, 0)
            port = target.sockets[0].getsockname()[1]
            link = await Link.to(ADDRESS, port)
            reader, writer = await asyncio.open_connection(ADDRESS, link.port)
            writer.write(b"abc")
            try:
                while await reader.read(100):
                    pass
            finally:
                writer.transport.abort()
                await link.close()
                target.close()

        self.assertRaises(ConnectionResetError, asyncio.run, body())
