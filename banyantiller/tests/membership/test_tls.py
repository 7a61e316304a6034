"""Tests of TLS between daemons, over real sockets of the loopback address."""

import asyncio
import datetime
import ipaddress
import pathlib
import tempfile
import time

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from banyantiller.config import defaults
from banyantiller.kernel import core
from banyantiller.membership import peers as peering
from banyantiller.tests.base import TestCase
from banyantiller.tests.membership import support

WAIT_S = 10.0
DAY = datetime.timedelta(days=1)


class Authority:
    """Issues certificates into a folder."""

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.subject = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, name)]
        )
        own = self._sign(self.subject, self.key, is_authority=True)
        self.trust = self._write(f"{name}.pem", own)

    def issue(self, name: str) -> defaults.TlsFiles:
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, name)]
        )
        certificate = self._write(f"{name}.crt", self._sign(subject, key))
        path = self.folder / f"{name}.key"
        path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return defaults.TlsFiles(certificate, str(path), self.trust, "peers")

    def _sign(self, subject, key, is_authority=False) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        names = [
            x509.DNSName("peers"),
            x509.IPAddress(ipaddress.ip_address("127.0.0.1")),
        ]
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + DAY)
            .add_extension(x509.BasicConstraints(is_authority, None), True)
            .add_extension(x509.SubjectAlternativeName(names), False)
        )
        return builder.sign(self.key, hashes.SHA256())

    def _write(self, name: str, certificate: x509.Certificate) -> str:
        path = self.folder / name
        path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        return str(path)


async def start(
    index: int, files: defaults.TlsFiles, seeds: tuple = ()
) -> peering.Peers:
    settings = support.settings(
        index,
        seeds=seeds,
        listen=defaults.Endpoint("127.0.0.1", 0),
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
                return len(one.alive()), len(two.alive())
            finally:
                await two.close()
                await one.close()

        return asyncio.run(body())

    def test_certificates_of_both_sides_are_verified(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            ours = Authority(folder, "ours")
            theirs = Authority(folder, "theirs")
            good = ours.issue("d0")
            both = self.meet(
                good,
                ours.issue("d1"),
                lambda one, two: one.linked() and two.linked(),
            )
            self.assertEqual((2, 2), both)

            def has_tried(one, two):
                return any(
                    tries.failures >= 2
                    for tries in two.dialer.attempts.values()
                )

            stranger = theirs.issue("d2")
            self.assertEqual((1, 1), self.meet(good, stranger, has_tried))
            # A stranger that trusts us is still not trusted by us.
            trusting = stranger._replace(trust=ours.trust)
            self.assertEqual((1, 1), self.meet(good, trusting, has_tried))
