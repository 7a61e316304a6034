"""Tests of the rules by which TLS contexts verify the other side."""

import asyncio
import os
import ssl
import tempfile
from unittest import mock

from banyantiller import exceptions
from banyantiller.config import defaults
from banyantiller.tests import base
from banyantiller.tests.certificates import LOOPBACK, CertificateAuthority
from banyantiller.utils import tls


async def greet(
    served: ssl.SSLContext, used: ssl.SSLContext, name: str
) -> bytes:
    """Returns the greeting that the connecting side got, empty if refused."""

    async def serve(_, writer):
        writer.write(b"hello")
        writer.close()

    listening = await asyncio.start_server(serve, LOOPBACK, 0, ssl=served)
    port = listening.sockets[0].getsockname()[1]
    try:
        reader, writer = await asyncio.open_connection(
            LOOPBACK, port, ssl=used, server_hostname=name
        )
        greeting = await reader.read()
        writer.close()
    except OSError:
        greeting = b""
    listening.close()
    return greeting


class ContextTest(base.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.authority = CertificateAuthority(folder.name, "ours")
        self.other = CertificateAuthority(folder.name, "theirs")

    def meet(self, served, used, check_address=True):
        """Lets a side that listens and one that connects talk."""
        greeting = greet(
            tls.server_context(served),
            tls.client_context(used, check_address),
            used.server_name or LOOPBACK,
        )
        return asyncio.run(greeting)

    def test_no_files_mean_no_tls(self):
        self.assertIsNone(tls.server_context(None))
        self.assertIsNone(tls.client_context(None))

    def test_a_trust_file_makes_the_listening_side_ask(self):
        served = self.authority.issue("server")
        known = self.authority.issue("client")
        nameless = defaults.TlsFiles(trust=self.authority.trust)
        stranger = self.other.issue("stranger")
        self.assertEqual(b"hello", self.meet(served, known))
        self.assertEqual(b"", self.meet(served, nameless))
        self.assertEqual(
            b"",
            self.meet(served, stranger._replace(trust=self.authority.trust)),
        )
        open_to_all = served._replace(trust="")
        self.assertEqual(b"hello", self.meet(open_to_all, nameless))

    def test_the_connecting_side_checks_authority_and_name(self):
        served = self.authority.issue("server", "orders")._replace(trust="")
        trusting = defaults.TlsFiles(trust=self.authority.trust)
        named = trusting._replace(server_name="orders")
        self.assertEqual(b"hello", self.meet(served, trusting))
        self.assertEqual(b"hello", self.meet(served, named))
        self.assertEqual(
            b"", self.meet(served, named._replace(server_name="stock"))
        )
        self.assertEqual(
            b"", self.meet(served, named._replace(trust=self.other.trust))
        )

    def test_the_address_is_checked_when_no_name_is_given(self):
        moved = self.authority.issue("moved", address="127.0.0.2")
        served = moved._replace(trust="")
        trusting = defaults.TlsFiles(trust=self.authority.trust)
        self.assertEqual(b"", self.meet(served, trusting))
        self.assertEqual(b"hello", self.meet(served, trusting, False))

    def test_without_a_trust_file_the_system_is_trusted(self):
        served = self.authority.issue("server")._replace(trust="")
        for system, answer in (
            (self.authority.trust, b"hello"),
            (self.other.trust, b""),
        ):
            with mock.patch.dict(os.environ, SSL_CERT_FILE=system):
                met = self.meet(served, defaults.TlsFiles())
            self.assertEqual(answer, met)

    def test_without_a_trust_file_a_name_is_required(self):
        moved = self.authority.issue("moved", address="127.0.0.2")
        served = moved._replace(trust="")
        with mock.patch.dict(os.environ, SSL_CERT_FILE=self.authority.trust):
            self.assertEqual(b"", self.meet(served, defaults.TlsFiles()))
        with self.assertRaises(exceptions.ConfigError):
            tls.client_context(defaults.TlsFiles(), check_address=False)

    def test_files_that_cannot_be_loaded_are_told(self):
        files = self.authority.issue("server")
        missing = files._replace(trust=f"{files.trust}.none")
        mixed = files._replace(key=self.other.issue("other").key)
        bad = (missing, mixed, files._replace(certificate=files.key))
        for wrong in bad:
            for build in (tls.server_context, tls.client_context):
                with self.assertRaises(exceptions.ConfigError):
                    build(wrong)
        with self.assertRaises(exceptions.ConfigError):
            tls.server_context(defaults.TlsFiles(trust=files.trust))
