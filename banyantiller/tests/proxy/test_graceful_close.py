"""Closing a connection that the caller has already reset."""

import errno
from unittest import mock

from banyantiller.proxy import caller
from banyantiller.tests import base
from banyantiller.tests.proxy import fakes


class GracefulCloseTest(base.TestCase):
    def test_caller_that_has_reset_its_connection(self) -> None:
        # After a pause of the daemon, many callers have timed out and reset
        # their connections before their responses are written.
        async def body() -> mock.Mock:
            bench = fakes.Bench.make(fakes.make_settings())
            transport = mock.Mock()
            transport.write_eof.side_effect = OSError(errno.ENOTCONN, "reset")
            connection = caller.CallerConnection(bench.proxy)
            connection.connection_made(transport)
            connection.close_gracefully()
            connection.connection_lost(None)
            await bench.proxy.close()
            return transport

        transport = self.run_paused(body())
        self.assertEqual(1, transport.write_eof.call_count)
        self.assertEqual(1, transport.abort.call_count)
