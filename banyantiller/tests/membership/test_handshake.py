"""Tests of the handshake: who is let in."""

import asyncio

from banyantiller.membership import handshake, messages
from banyantiller.tests.base import TestCase


def hello(index: int, **others: object) -> messages.Hello:
    known = {
        "protocol": 1,
        "oldest": 1,
        "deployment": "registry",
        "daemon": f"d{index}",
        "zone": "zone-c",
        "incarnation": 5,
        "address": "127.0.0.1",
        "port": 7000 + index,
        **others,
    }
    return messages.Hello(**known)


class Channel:
    """One end of a pair of queues."""

    def __init__(self, inbox: asyncio.Queue, outbox: asyncio.Queue) -> None:
        self.inbox = inbox
        self.outbox = outbox

    async def send(self, data: bytes) -> None:
        await self.outbox.put(data)

    async def recv(self, decode: bool | None = None) -> bytes:
        return await self.inbox.get()


def pair() -> tuple[Channel, Channel]:
    one, two = asyncio.Queue(), asyncio.Queue()
    return Channel(one, two), Channel(two, one)


async def meet(dialer, listener, secrets=("s", "s")):
    """Results of both sides; a side left waiting gives `TimeoutError`."""
    here, there = pair()

    async def side(channel, role, own, secret):
        async with asyncio.timeout(2):
            return await handshake.perform_handshake(channel, role, own, secret)

    return await asyncio.gather(
        side(here, handshake.DIALER, dialer, secrets[0]),
        side(there, handshake.LISTENER, listener, secrets[1]),
        return_exceptions=True,
    )


class HandshakeTest(TestCase):
    def refused(self, code, dialer, listener, **others):
        async def body():
            return await meet(dialer, listener, **others)

        dialed, listened = self.run_paused(body())
        self.assertIsInstance(listened, handshake.LinkRefusedError)
        self.assertEqual(code, listened.code)
        self.assertIsInstance(dialed, TimeoutError)

    def test_both_sides_know_each_other(self):
        async def body():
            for secret in ("s", ""):
                met = await meet(hello(1), hello(2), (secret, secret))
                self.assertEqual(["d2", "d1"], [x.daemon for x in met])

        self.run_paused(body())

    def test_strangers(self):
        for secrets in (("wrong", "s"), ("", "s")):
            self.refused(
                handshake.CLOSE_UNAUTHENTICATED,
                hello(1),
                hello(2),
                secrets=secrets,
            )

    def test_another_fleet_and_itself(self):
        other = hello(1, deployment="survey")
        self.refused(handshake.CLOSE_OTHER_DEPLOYMENT, other, hello(2))
        self.refused(handshake.CLOSE_SELF_LINK, hello(1), hello(1))

    def test_protocol_versions(self):
        async def body():
            newer = hello(1, protocol=4, oldest=1)
            met = await meet(newer, hello(2))
            self.assertEqual([1, 4], [x.protocol for x in met])

        self.run_paused(body())
        self.refused(
            handshake.CLOSE_NO_COMMON_VERSION,
            hello(1, protocol=4, oldest=2),
            hello(2),
        )

    def test_a_proof_fits_one_link_side_and_daemon(self):
        nonces = handshake.Nonces(b"d" * 32, b"l" * 32)
        good = handshake.compute_proof("s", handshake.DIALER, nonces, hello(1))
        others = [
            ("t", handshake.DIALER, nonces, hello(1)),
            ("s", handshake.LISTENER, nonces, hello(1)),
            (
                "s",
                handshake.DIALER,
                nonces._replace(dialer=b"x" * 32),
                hello(1),
            ),
            ("s", handshake.DIALER, nonces._replace(listener=b""), hello(1)),
            ("s", handshake.DIALER, nonces, hello(2)),
            ("s", handshake.DIALER, nonces, hello(1, deployment="survey")),
        ]
        for changed in others:
            self.assertNotEqual(good, handshake.compute_proof(*changed))

    def test_a_reflected_challenge_is_refused(self):
        async def body():
            here, there = pair()
            greeting = asyncio.create_task(
                handshake.perform_handshake(
                    here, handshake.DIALER, hello(1), "s"
                )
            )
            await there.send(await there.recv())
            with self.assertRaises(handshake.LinkRefusedError):
                await greeting

        self.run_paused(body())

    def test_nothing_else_is_taken_before_the_hello(self):
        async def body(data):
            here, there = pair()
            nonce = messages.encode(messages.Challenge(b"n" * 32))
            await there.send(nonce)
            await there.send(data)
            try:
                await handshake.perform_handshake(
                    here, handshake.LISTENER, hello(1), "s"
                )
            except handshake.LinkRefusedError as error:
                return error.code

        beat = messages.encode(messages.Heartbeat(1, 9, b""))
        for data in (beat, b"\xff\xff", b"", messages.encode(hello(2))):
            self.assertIn(
                self.run_paused(body(data)),
                (handshake.CLOSE_MALFORMED, handshake.CLOSE_UNAUTHENTICATED),
            )
