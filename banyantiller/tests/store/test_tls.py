"""Tests of TLS to the object API, on the loopback interface."""

import asyncio
import tempfile

from banyantiller.config import defaults
from banyantiller.http import server
from banyantiller.store import interface, kubernetes
from banyantiller.tests import base
from banyantiller.tests.certificates import LOOPBACK, Authority
from banyantiller.utils import tls
from standins import object_api


class TlsTest(base.TestCase):
    def create_over(self, served, trusted):
        """Creates an object over TLS.

        Args:
            served: TLS files of the server.
            trusted: Path of the certificates that the client trusts.
        """

        async def body():
            listener = server.HttpServer(object_api.ObjectApi().handle)
            context = tls.server_context(served._replace(trust=""))
            bound = await listener.start(LOOPBACK, 0, context)
            settings = defaults.ObjectApiSettings(
                defaults.Endpoint(LOOPBACK, bound.port),
                tls=defaults.TlsFiles(trust=trusted),
            )
            store = kubernetes.KubernetesStore.from_settings(settings, "f")
            outcome = await store.create("things", "a", {})
            await store.close()
            await listener.close()
            return outcome

        return asyncio.run(body())

    def test_only_a_trusted_server_is_used(self):
        with (
            tempfile.TemporaryDirectory() as one,
            tempfile.TemporaryDirectory() as two,
        ):
            files = Authority(one).issue("server")
            other_files = Authority(two).issue("server")
            used = self.create_over(files, files.trust)
            refused = self.create_over(files, other_files.trust)
        self.assertIsInstance(used, interface.Found)
        self.assertIsInstance(refused, interface.Unavailable)
