"""Tests of the verification of certificates by TLS contexts."""

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
    server_context: ssl.SSLContext, client_context: ssl.SSLContext, name: str
) -> bytes:
    """Returns the greeting that the client received, empty if rejected."""

    async def serve(_, writer):
        writer.write(b"hello")
        writer.close()

    listener = await asyncio.start_server(
        serve, LOOPBACK, 0, ssl=server_context
    )
    port = listener.sockets[0].getsockname()[1]
    try:
        reader, writer = await asyncio.open_connection(
            LOOPBACK, port, ssl=client_context, server_hostname=name
        )
        greeting = await reader.read()
        writer.close()
    except OSError:
        greeting = b""
    listener.close()
    return greeting


class ContextTest(base.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.authority = CertificateAuthority(folder.name, "ours")
        self.other_authority = CertificateAuthority(folder.name, "theirs")

    def connect(self, server_files, client_files, check_address=True):
        """Returns the greeting that a client with these files receives."""
        greeting = greet(
            tls.server_context(server_files),
            tls.client_context(client_files, check_address),
            client_files.server_name or LOOPBACK,
        )
        return asyncio.run(greeting)

    def test_no_files_mean_no_tls(self):
        self.assertIsNone(tls.server_context(None))
        self.assertIsNone(tls.client_context(None))

    def test_trust_file_makes_the_listener_require_a_certificate(self):
        server_files = self.authority.issue("server")
        trusted = self.authority.issue("client")
        without_certificate = defaults.TlsFiles(trust=self.authority.trust)
        untrusted = self.other_authority.issue("stranger")
        self.assertEqual(b"hello", self.connect(server_files, trusted))
        self.assertEqual(b"", self.connect(server_files, without_certificate))
        self.assertEqual(
            b"",
            self.connect(
                server_files, untrusted._replace(trust=self.authority.trust)
            ),
        )
        without_trust = server_files._replace(trust="")
        self.assertEqual(
            b"hello", self.connect(without_trust, without_certificate)
        )

    def test_client_checks_authority_and_name(self):
        server_files = self.authority.issue("server", "orders")._replace(
            trust=""
        )
        client_files = defaults.TlsFiles(trust=self.authority.trust)
        named = client_files._replace(server_name="orders")
        self.assertEqual(b"hello", self.connect(server_files, client_files))
        self.assertEqual(b"hello", self.connect(server_files, named))
        self.assertEqual(
            b"", self.connect(server_files, named._replace(server_name="stock"))
        )
        self.assertEqual(
            b"",
            self.connect(
                server_files, named._replace(trust=self.other_authority.trust)
            ),
        )

    def test_client_checks_the_address_without_a_server_name(self):
        other_address = self.authority.issue("moved", address="127.0.0.2")
        server_files = other_address._replace(trust="")
        client_files = defaults.TlsFiles(trust=self.authority.trust)
        self.assertEqual(b"", self.connect(server_files, client_files))
        self.assertEqual(
            b"hello", self.connect(server_files, client_files, False)
        )

    def test_client_without_a_trust_file_trusts_the_system(self):
        server_files = self.authority.issue("server")._replace(trust="")
        for system, answer in (
            (self.authority.trust, b"hello"),
            (self.other_authority.trust, b""),
        ):
            with mock.patch.dict(os.environ, SSL_CERT_FILE=system):
                greeting = self.connect(server_files, defaults.TlsFiles())
            self.assertEqual(answer, greeting)

    def test_client_without_a_trust_file_requires_a_name(self):
        other_address = self.authority.issue("moved", address="127.0.0.2")
        server_files = other_address._replace(trust="")
        with mock.patch.dict(os.environ, SSL_CERT_FILE=self.authority.trust):
            self.assertEqual(
                b"", self.connect(server_files, defaults.TlsFiles())
            )
        with self.assertRaises(exceptions.ConfigError):
            tls.client_context(defaults.TlsFiles(), check_address=False)

    def test_files_that_cannot_be_loaded_raise_an_error(self):
        files = self.authority.issue("server")
        missing = files._replace(trust=f"{files.trust}.none")
        mismatched_key = files._replace(
            key=self.other_authority.issue("other").key
        )
        faulty = (
            missing,
            mismatched_key,
            files._replace(certificate=files.key),
        )
        for files_with_fault in faulty:
            for build in (tls.server_context, tls.client_context):
                with self.assertRaises(exceptions.ConfigError):
                    build(files_with_fault)
        with self.assertRaises(exceptions.ConfigError):
            tls.server_context(defaults.TlsFiles(trust=files.trust))
