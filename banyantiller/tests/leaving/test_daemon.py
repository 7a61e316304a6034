"""Tests that whole daemons publish leaving servers to one another."""

import asyncio

from banyantiller.http import messages
from banyantiller.tests import base
from banyantiller.tests.daemon import test_whole_path as whole

METRICS = "endpoint-load-metrics"
STOP_WITHIN_S = 3.0


class Fleet(whole.Fleet):
    """A fleet whose servers may report that they drain."""

    def __init__(self) -> None:
        super().__init__()
        self.draining = False

    async def answer(self, request: messages.Request) -> messages.Response:
        """Responds with the load of a server."""
        draining = int(self.draining)
        report = (
            f"TEXT named_metrics.in_flight=1, named_metrics.draining={draining}"
        )
        return messages.Response(200, ((METRICS, report),), b"done")

    def leaving_counts(self) -> list[int]:
        """Returns how many servers get no new requests, by daemon."""
        return [
            sum(len(d.leaving) for d in daemon.proxy.drivers.values())
            for daemon in self.daemons
        ]


class LeavingDaemonTest(base.TestCase):
    def test_drain_reported_to_one_daemon_and_return_reach_all(
        self,
    ) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            await fleet.start(3)
            fleet.draining = True
            await whole.send(8001, "GET", "/orders/1")
            await asyncio.sleep(STOP_WITHIN_S)
            self.assertEqual([1, 1, 1], fleet.leaving_counts())
            await asyncio.sleep(100)
            self.assertEqual([1, 1, 1], fleet.leaving_counts())
            fleet.draining = False
            await asyncio.sleep(100)
            self.assertEqual([0, 0, 0], fleet.leaving_counts())
            await fleet.stop()

        self.run_paused(scenario())
