"""Tests of TLS towards callers and servers, on real loopback sockets."""

import asyncio
import tempfile

from banyantiller.bundle import options
from banyantiller.config import defaults
from banyantiller.tests import base
from banyantiller.tests.certificates import LOOPBACK, CertificateAuthority
from banyantiller.tests.proxy import fakes
from banyantiller.utils import tls

GET = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


class TlsTest(base.TestCase):
    async def exchange(
        self, files: defaults.TlsFiles, trust: str
    ) -> tuple[bytes, fakes.Bench]:
        backend = fakes.FakeServer(fakes.responding())
        listening = await asyncio.start_server(
            backend.serve, LOOPBACK, 0, ssl=tls.server_context(files)
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
            LOOPBACK, bound.port, ssl=tls.client_context(files)
        )
        writer.write(GET)
        response = await reader.read()
        writer.close()
        await bench.proxy.close()
        listening.close()
        return response, bench

    def test_both_sides(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            files = CertificateAuthority(folder).issue("server")
            response, _ = asyncio.run(self.exchange(files, files.trust))
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        self.assertTrue(response.endswith(b"\r\n\r\nok"), response)

    def test_untrusted_server(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            files = CertificateAuthority(folder).issue("server")
            response, bench = asyncio.run(self.exchange(files, ""))
        self.assertIn(b"error=tls_protocol_error", response)
        self.assertIn(b"request-ran: no", response)
        self.assertEqual("tls_failed", bench.finished[0].error)
