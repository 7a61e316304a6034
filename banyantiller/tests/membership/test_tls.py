"""Tests of TLS between daemons over sockets of the loopback interface."""

import asyncio
import tempfile
import time

from banyantiller.config import defaults
from banyantiller.kernel import core
from banyantiller.membership import peers as peering
from banyantiller.tests.base import TestCase
from banyantiller.tests.certificates import LOOPBACK, CertificateAuthority
from banyantiller.tests.membership import support

TIMEOUT_S = 10.0


async def start_peers(
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
    def run_pair(
        self, first: defaults.TlsFiles, second: defaults.TlsFiles, is_done
    ):
        """Runs two daemons until `is_done(first, second)` returns true.

        Returns:
            Number of alive members in the view of each daemon.
        """

        async def body():
            one = await start_peers(0, first)
            two = await start_peers(1, second, seeds=(one.links.endpoint,))
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    while not is_done(one, two):  # noqa: ASYNC110
                        await asyncio.sleep(0.02)
                return len(one.alive_members()), len(two.alive_members())
            finally:
                await two.close()
                await one.close()

        return asyncio.run(body())

    def test_certificates_of_both_sides_are_verified(self):
        with tempfile.TemporaryDirectory() as folder:
            trusted = CertificateAuthority(folder, "ours")
            foreign = CertificateAuthority(folder, "theirs")
            certified = trusted.issue("d0", "peers")
            alive_counts = self.run_pair(
                certified,
                trusted.issue("d1", "peers"),
                lambda one, two: one.linked_peers() and two.linked_peers(),
            )
            self.assertEqual((2, 2), alive_counts)

            def has_failed_dials(one, two):
                return any(
                    backoff.failures >= 2
                    for backoff in two.dialer.dial_backoffs.values()
                )

            foreign_files = foreign.issue("d2", "peers")
            self.assertEqual(
                (1, 1),
                self.run_pair(certified, foreign_files, has_failed_dials),
            )
            # It is refused even if it trusts the certificates of the fleet.
            trusting_files = foreign_files._replace(trust=trusted.trust)
            self.assertEqual(
                (1, 1),
                self.run_pair(certified, trusting_files, has_failed_dials),
            )
