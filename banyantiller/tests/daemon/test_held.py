"""Tests of what whole daemons write as evidence, as `held` judges it."""

import asyncio

from banyantiller.config import defaults
from banyantiller.evidence import assessment, judging
from banyantiller.evidence.promises import Promise
from banyantiller.evidence.verdicts import Broken, Held, Verdict
from banyantiller.store import memory
from banyantiller.tests import base
from banyantiller.tests.bundle import samples
from banyantiller.tests.daemon import test_whole_path as whole_path


async def judged(fleet: whole_path.Fleet) -> dict[Promise, Verdict]:
    """Judges the whole life of the daemons, after their end."""
    now = whole_path.WALL + asyncio.get_running_loop().time()
    store = memory.MemoryStore(fleet.table)
    settled = await assessment.find_judgeable_period(
        store, samples.DEPLOYMENT, round(now * 1000)
    )
    period = judging.Period(settled.first_ms, settled.until_ms)
    question = assessment.AssessmentRequest(
        samples.DEPLOYMENT, period, 3_600_000_000, 500, settled.known_ms
    )
    found = await assessment.assess(store, question)
    return {item.promise: item.verdict for item in found.judgements}


class HeldTest(base.TestCase):
    def test_sound_life_of_two_daemons(self) -> None:
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
            for promise, verdict in (await judged(fleet)).items():
                self.assertIsInstance(verdict, Held, (promise, verdict))
                self.assertEqual(8, verdict.calls)

        self.run_paused(scenario())

    def test_call_that_a_drain_did_not_wait_for(self) -> None:
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
            impatient = defaults.DrainSettings(grace_s=0.0, limit_s=2.0)
            daemon.settings = daemon.settings._replace(drain=impatient)
            await asyncio.sleep(0.1)
            self.assertEqual([1], await fleet.stop())
            self.assertEqual(b"", await reader.read())
            writer.close()
            verdict = (await judged(fleet))[Promise.SHUTDOWN_CUTS_NOTHING]
            self.assertIsInstance(verdict, Broken)
            self.assertEqual("slow-one", verdict.named[0].request_id)

        self.run_paused(scenario())
