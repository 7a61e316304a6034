"""Tests of listening before the program is loaded."""

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
    """Yields the address of a socket that listens, or only holds its port."""
    with socket.socket() as one:
        one.bind((ADDRESS, 0))
        if listening:
            one.listen()
        yield f"{ADDRESS}:{one.getsockname()[1]}"


def free_address():
    """Returns an address that nobody uses."""
    with bound(False) as address:
        return address


def listen(own, others):
    """Listens early, if at all."""
    return early_listening.listen(
        {
            early_listening.LISTEN_VARIABLE: own,
            early_listening.OTHERS_VARIABLE: others,
        }
    )


class EarlyTest(base.TestCase):
    def test_daemon_whose_peers_are_down_lets_callers_wait(self):
        own = free_address()
        with bound(False) as one, bound(False) as other:
            listener = listen(own, f"{one},{other}")
        self.addCleanup(listener.close)
        host, port = own.split(":")
        with socket.create_connection((host, int(port)), timeout=5) as caller:
            accepted, _ = listener.accept()
            accepted.close()
            self.assertEqual(b"", caller.recv(1))

    def test_daemon_with_a_living_peer_refuses_until_it_is_loaded(self):
        with bound(False) as dead, bound(True) as alive:
            self.assertIsNone(listen(free_address(), f"{dead},{alive}"))

    def test_nothing_is_done_without_both_addresses(self):
        for own, others in (
            ("", free_address()),
            (free_address(), ""),
            ("nowhere", free_address()),
        ):
            self.assertIsNone(listen(own, others))

    def test_address_that_is_taken_is_left_to_the_gateway(self):
        with bound(True) as own, bound(False) as dead:
            self.assertIsNone(listen(own, dead))


class StartTest(harness.TestCase):
    def test_gateway_takes_the_listening_socket_if_it_is_its_own(self):
        async def starts(listener, endpoint):
            async with harness.GatewayHarness() as place:
                place.gateway.listener.close()
                return await place.gateway.start(endpoint, listener)

        class Waiting:
            closed = False

            def getsockname(self):
                return (ADDRESS, 1)

            def close(self):
                self.closed = True

        waiting = Waiting()
        found = self.run_paused(starts(waiting, Endpoint(ADDRESS, 0)))
        self.assertNotEqual(1, found.port)
        self.assertTrue(waiting.closed)

    def test_call_before_the_first_document_waits_for_it(self):
        async def body(place):
            await place.start_gateway()
            return (await place.request("a")).status

        self.assertEqual(200, self.play(body))

    def test_call_is_refused_soon_if_there_is_no_document(self):
        async def body(place):
            place.store.faults.silent = True
            await place.start_gateway()
            loop = asyncio.get_running_loop()
            began = loop.time()
            first = await place.request("a")
            waited_s = loop.time() - began
            began = loop.time()
            second = await place.request("b")
            return first.status, waited_s, second.status, loop.time() - began

        first, waited_s, second, at_once_s = self.play(body)
        self.assertEqual((503, 503), (first, second))
        self.assertLess(waited_s, 0.25)
        self.assertLess(at_once_s, 0.05)
