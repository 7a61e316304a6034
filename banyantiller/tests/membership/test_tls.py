"""Tests of TLS between daemons, over real sockets of the loopback address."""

import asyncio
import tempfile
import time

from banyantiller.config import defaults
from banyantiller.kernel import core
from banyantiller.membership import peers as peering
from banyantiller.tests.base import TestCase
from banyantiller.tests.certificates import LOOPBACK, Authority
from banyantiller.tests.membership import support

WAIT_S = 10.0


async def start(
    index: int, files: defaults.TlsFiles, seeds: tuple = ()
) -> peering.Peers:
    settings = support.settings(
        index,
        seeds=seeds,
        listen=defaults.Endpoint(LOOPBACK, 0),
        secret="",
        tls=files,
    )
    peers = peering.Peers.from_settings(settings, core.Kernel(), time.time, 1)
    await peers.start()
    return peers


class TlsTest(TestCase):
    def meet(self, first: defaults.TlsFiles, second: defaults.TlsFiles, met):
        """Starts two daemons; `met(first, second)` tells when to end."""

        async def body():
            one = await start(0, first)
            two = await start(1, second, seeds=(one.links.endpoint,))
            try:
                async with asyncio.timeout(WAIT_S):
                    while not met(one, two):  # noqa: ASYNC110
                        await asyncio.sleep(0.02)
                return len(one.alive_members()), len(two.alive_members())
            finally:
                await two.close()
                await one.close()

        return asyncio.run(body())

    def test_certificates_of_both_sides_are_verified(self):
        with tempfile.TemporaryDirectory() as folder:
            ours = Authority(folder, "ours")
            theirs = Authority(folder, "theirs")
            good = ours.issue("d0", "peers")
            both = self.meet(
                good,
                ours.issue("d1", "peers"),
                lambda one, two: one.linked_peers() and two.linked_peers(),
            )
            self.assertEqual((2, 2), both)

            def has_tried(one, two):
                return any(
                    backoff.failures >= 2
                    for backoff in two.dialer.dial_backoffs.values()
                )

            stranger = theirs.issue("d2", "peers")
            self.assertEqual((1, 1), self.meet(good, stranger, has_tried))
            # A stranger that trusts us is still not trusted by us.
            trusting = stranger._replace(trust=ours.trust)
            self.assertEqual((1, 1), self.meet(good, trusting, has_tried))
