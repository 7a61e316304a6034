"""Tests of early listening, before the program is loaded."""

import asyncio
import contextlib
import socket

from banyantiller.config.defaults import Endpoint
from banyantiller.gateway import early_listening
from banyantiller.tests import base
from banyantiller.tests.gateway import harness

ADDRESS = "127.0.0.1"


@contextlib.contextmanager
def bound(listening):
    """Yields the address of a bound socket, which may listen."""
    with socket.socket() as sock:
        sock.bind((ADDRESS, 0))
        if listening:
            sock.listen()
        yield f"{ADDRESS}:{sock.getsockname()[1]}"


def free_address():
    """Returns an unused address."""
    with bound(False) as address:
        return address


def listen(local_address, peers):
    """Calls `early_listening.listen` with both variables."""
    return early_listening.listen(
        {
            early_listening.LISTEN_VARIABLE: local_address,
            early_listening.PEERS_VARIABLE: peers,
        }
    )


class EarlyListeningTest(base.TestCase):
    def test_daemon_listens_early_if_its_peers_are_down(self):
        local_address = free_address()
        with bound(False) as first, bound(False) as second:
            listener = listen(local_address, f"{first},{second}")
        self.addCleanup(listener.close)
        host, port = local_address.split(":")
        with socket.create_connection((host, int(port)), timeout=5) as caller:
            accepted, _ = listener.accept()
            accepted.close()
            self.assertEqual(b"", caller.recv(1))

    def test_daemon_with_a_running_peer_does_not_listen_early(self):
        with bound(False) as dead, bound(True) as alive:
            self.assertIsNone(listen(free_address(), f"{dead},{alive}"))

    def test_no_early_listening_without_both_addresses(self):
        for local_address, peers in (
            ("", free_address()),
            (free_address(), ""),
            ("nowhere", free_address()),
        ):
            self.assertIsNone(listen(local_address, peers))

    def test_address_in_use_is_not_an_error(self):
        with bound(True) as local_address, bound(False) as dead:
            self.assertIsNone(listen(local_address, dead))


class GatewayStartTest(harness.TestCase):
    def test_early_listener_of_another_address_is_closed(self):
        async def starts(listener, endpoint):
            async with harness.GatewayHarness() as env:
                env.gateway.listener.close()
                return await env.gateway.start(endpoint, listener)

        class EarlyListener:
            closed = False

            def getsockname(self):
                return (ADDRESS, 1)

            def close(self):
                self.closed = True

        listener = EarlyListener()
        found = self.run_paused(starts(listener, Endpoint(ADDRESS, 0)))
        self.assertNotEqual(1, found.port)
        self.assertTrue(listener.closed)

    def test_call_before_the_first_document_waits_for_it(self):
        async def body(env):
            await env.start_gateway()
            return (await env.request("a")).status

        self.assertEqual(200, self.play(body))

    def test_call_without_any_document_is_rejected_soon(self):
        async def body(env):
            env.store.faults.silent = True
            await env.start_gateway()
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            first = await env.request("a")
            waited_s = loop.time() - started_at
            started_at = loop.time()
            second = await env.request("b")
            return (
                first.status,
                waited_s,
                second.status,
                loop.time() - started_at,
            )

        first, waited_s, second, second_s = self.play(body)
        self.assertEqual((503, 503), (first, second))
        self.assertLess(waited_s, 0.25)
        self.assertLess(second_s, 0.05)
