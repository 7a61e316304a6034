"""Tests of TLS on both sides, on real sockets of the loopback interface."""

import asyncio
import datetime
import ipaddress
import pathlib
import ssl
import tempfile

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from banyantiller.bundle import options
from banyantiller.config import defaults
from banyantiller.proxy import tls
from banyantiller.tests import base
from banyantiller.tests.proxy import fakes

LOOPBACK = "127.0.0.1"
GET = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


def make_files(folder: pathlib.Path) -> defaults.TlsFiles:
    """Writes a self-signed certificate for the loopback address."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "test")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address(LOOPBACK))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), False)
        .add_extension(x509.BasicConstraints(True, None), True)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / "certificate").write_bytes(certificate.public_bytes(pem))
    (folder / "key").write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    path = str(folder / "certificate")
    return defaults.TlsFiles(path, str(folder / "key"), path)


class TlsTest(base.TestCase):
    async def exchange(
        self, files: defaults.TlsFiles, trust: str
    ) -> tuple[bytes, fakes.Bench]:
        backend = fakes.FakeServer(fakes.answering())
        listening = await asyncio.start_server(
            backend.serve, LOOPBACK, 0, ssl=tls.for_callers(files)
        )
        port = listening.sockets[0].getsockname()[1]
        settings = fakes.make_settings()._replace(
            callers=defaults.CallerSettings(
                defaults.Endpoint(LOOPBACK, 0), tls=files
            ),
            backends=defaults.BackendSettings(
                tls=files._replace(trust=trust), connect_timeout_s=5.0
            ),
        )
        bench = fakes.Bench.make(settings)
        server = options.BackendServer("server-1", LOOPBACK, port)
        service = options.Service("orders", (server,))
        bench.proxy.apply(options.Bundle((service,)), 1, 1000.0)
        bound = await bench.proxy.start()
        reader, writer = await asyncio.open_connection(
            LOOPBACK, bound.port, ssl=tls.for_backends(files)
        )
        writer.write(GET)
        answer = await reader.read()
        writer.close()
        await bench.proxy.close()
        listening.close()
        return answer, bench

    def test_both_sides(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            files = make_files(pathlib.Path(folder))
            answer, _ = asyncio.run(self.exchange(files, files.trust))
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.assertTrue(answer.endswith(b"\r\n\r\nok"), answer)

    def test_server_that_is_not_trusted(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            files = make_files(pathlib.Path(folder))
            answer, bench = asyncio.run(self.exchange(files, ""))
        self.assertIn(b"error=tls_protocol_error", answer)
        self.assertIn(b"request-ran: no", answer)
        self.assertEqual("tls_failed", bench.finished[0].error)

    def test_no_files_mean_no_tls(self) -> None:
        self.assertIsNone(tls.for_callers(None))
        self.assertIsNone(tls.for_backends(None))
        self.assertEqual(
            ssl.CERT_REQUIRED,
            tls.for_backends(defaults.TlsFiles()).verify_mode,
        )
