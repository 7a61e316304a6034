"""Tests of the handshake: which peers are accepted."""

import asyncio

from banyantiller.membership import handshake, messages
from banyantiller.tests.base import TestCase


def hello(index: int, **changes: object) -> messages.Hello:
    fields = {
        "protocol": 1,
        "oldest": 1,
        "deployment": "registry",
        "daemon": f"d{index}",
        "zone": "zone-c",
        "incarnation": 5,
        "address": "127.0.0.1",
        "port": 7000 + index,
        **changes,
    }
    return messages.Hello(**fields)


class Channel:
    """One end of a pair of queues."""

    def __init__(self, inbox: asyncio.Queue, outbox: asyncio.Queue) -> None:
        self.inbox = inbox
        self.outbox = outbox

    async def send(self, data: bytes) -> None:
        await self.outbox.put(data)

    async def recv(self, decode: bool | None = None) -> bytes:
        return await self.inbox.get()


def channel_pair() -> tuple[Channel, Channel]:
    one, two = asyncio.Queue(), asyncio.Queue()
    return Channel(one, two), Channel(two, one)


async def handshake_both_sides(dialer, listener, secrets=("s", "s")):
    """Returns both results; `TimeoutError` for a side left waiting."""
    dialer_end, listener_end = channel_pair()

    async def side(channel, role, local, secret):
        async with asyncio.timeout(2):
            return await handshake.perform_handshake(
                channel, role, local, secret
            )

    return await asyncio.gather(
        side(dialer_end, handshake.DIALER, dialer, secrets[0]),
        side(listener_end, handshake.LISTENER, listener, secrets[1]),
        return_exceptions=True,
    )


class HandshakeTest(TestCase):
    def assert_refused(self, code, dialer, listener, **options):
        async def body():
            return await handshake_both_sides(dialer, listener, **options)

        dialed, listened = self.run_paused(body())
        self.assertIsInstance(listened, handshake.LinkRefusedError)
        self.assertEqual(code, listened.code)
        self.assertIsInstance(dialed, TimeoutError)

    def test_both_sides_receive_the_hello_of_the_peer(self):
        async def body():
            for secret in ("s", ""):
                hellos = await handshake_both_sides(
                    hello(1), hello(2), (secret, secret)
                )
                self.assertEqual(["d2", "d1"], [x.daemon for x in hellos])

        self.run_paused(body())

    def test_wrong_or_missing_secret_is_refused(self):
        for secrets in (("wrong", "s"), ("", "s")):
            self.assert_refused(
                handshake.CLOSE_UNAUTHENTICATED,
                hello(1),
                hello(2),
                secrets=secrets,
            )

    def test_other_deployment_and_self_link_are_refused(self):
        other = hello(1, deployment="survey")
        self.assert_refused(handshake.CLOSE_OTHER_DEPLOYMENT, other, hello(2))
        self.assert_refused(handshake.CLOSE_SELF_LINK, hello(1), hello(1))

    def test_protocol_versions(self):
        async def body():
            newer = hello(1, protocol=4, oldest=1)
            hellos = await handshake_both_sides(newer, hello(2))
            self.assertEqual([1, 4], [x.protocol for x in hellos])

        self.run_paused(body())
        self.assert_refused(
            handshake.CLOSE_NO_COMMON_VERSION,
            hello(1, protocol=4, oldest=2),
            hello(2),
        )

    def test_proof_is_valid_for_one_link_role_and_daemon(self):
        nonces = handshake.Nonces(b"d" * 32, b"l" * 32)
        proof = handshake.compute_proof("s", handshake.DIALER, nonces, hello(1))
        other_inputs = [
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
        for changed in other_inputs:
            self.assertNotEqual(proof, handshake.compute_proof(*changed))

    def test_a_reflected_challenge_is_refused(self):
        async def body():
            dialer_end, listener_end = channel_pair()
            greeting = asyncio.create_task(
                handshake.perform_handshake(
                    dialer_end, handshake.DIALER, hello(1), "s"
                )
            )
            await listener_end.send(await listener_end.recv())
            with self.assertRaises(handshake.LinkRefusedError):
                await greeting

        self.run_paused(body())

    def test_other_messages_before_the_hello_are_refused(self):
        async def body(data):
            dialer_end, listener_end = channel_pair()
            nonce = messages.encode(messages.Challenge(b"n" * 32))
            await listener_end.send(nonce)
            await listener_end.send(data)
            try:
                await handshake.perform_handshake(
                    dialer_end, handshake.LISTENER, hello(1), "s"
                )
            except handshake.LinkRefusedError as error:
                return error.code

        heartbeat = messages.encode(messages.Heartbeat(1, 9, b""))
        for data in (heartbeat, b"\xff\xff", b"", messages.encode(hello(2))):
            self.assertIn(
                self.run_paused(body(data)),
                (handshake.CLOSE_MALFORMED, handshake.CLOSE_UNAUTHENTICATED),
            )
