"""Tests of evidence written by daemons, as the `held` command judges it."""

import asyncio

from banyantiller.config import defaults
from banyantiller.evidence import assessment, judging
from banyantiller.evidence.promises import Promise
from banyantiller.evidence.verdicts import Broken, Held, Verdict
from banyantiller.store import memory
from banyantiller.tests import base
from banyantiller.tests.bundle import samples
from banyantiller.tests.daemon import test_whole_path as whole_path


async def judge(fleet: whole_path.Fleet) -> dict[Promise, Verdict]:
    """Judges the whole run of the daemons after they have stopped."""
    now = whole_path.WALL + asyncio.get_running_loop().time()
    store = memory.MemoryStore(fleet.table)
    settled = await assessment.find_judgeable_period(
        store, samples.DEPLOYMENT, round(now * 1000)
    )
    period = judging.Period(settled.first_ms, settled.until_ms)
    query = assessment.AssessmentRequest(
        samples.DEPLOYMENT, period, 3_600_000_000, 500, settled.known_ms
    )
    result = await assessment.assess(store, query)
    return {item.promise: item.verdict for item in result.judgements}


class EvidenceTest(base.TestCase):
    def test_promises_hold_for_two_daemons(self) -> None:
        async def scenario() -> None:
            fleet = whole_path.Fleet()
            await fleet.start(2)
            for number in range(6):
                port = 8001 + number % 2
                await whole_path.send(port, "GET", f"/orders/{number}")
            await whole_path.send(8001, "POST", "/orders", b"x", "k")
            await whole_path.send(8002, "POST", "/orders", b"x", "k")
            await asyncio.sleep(65)
            self.assertEqual([0, 0], await fleet.stop())
            for promise, verdict in (await judge(fleet)).items():
                self.assertIsInstance(verdict, Held, (promise, verdict))
                self.assertEqual(8, verdict.calls)

        self.run_paused(scenario())

    def test_call_in_flight_at_the_drain_limit(self) -> None:
        async def scenario() -> None:
            fleet = whole_path.Fleet()
            await fleet.start(1)
            fleet.service_s = 8.0
            reader, writer = await asyncio.open_connection("127.0.0.1", 8001)
            writer.write(
                b"GET /orders/1 HTTP/1.1\r\nHost: x\r\n"
                b"X-Request-Id: slow-one\r\n\r\n"
            )
            daemon = fleet.daemons[0]
            short_drain = defaults.DrainSettings(grace_s=0.0, limit_s=2.0)
            daemon.settings = daemon.settings._replace(drain=short_drain)
            await asyncio.sleep(0.1)
            self.assertEqual([1], await fleet.stop())
            self.assertEqual(b"", await reader.read())
            writer.close()
            verdict = (await judge(fleet))[Promise.SHUTDOWN_CUTS_NOTHING]
            self.assertIsInstance(verdict, Broken)
            self.assertEqual("slow-one", verdict.named[0].request_id)

        self.run_paused(scenario())
