"""Shared base of the judging tests: a fleet of two daemons."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from banyantiller.evidence import assessment, judging
from banyantiller.evidence.promises import Promise
from banyantiller.evidence.verdicts import NotKnown, Verdict
from banyantiller.store import memory, table
from banyantiller.tests import base
from banyantiller.tests.evidence import samples

DaemonParts = samples.DaemonParts


class JudgingCase(base.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = table.ObjectTable()
        self.store = memory.MemoryStore(self.table)

    def run_script(
        self,
        script: Callable[[DaemonParts, DaemonParts], Awaitable[None]],
        **options_of_second: Any,
    ) -> None:
        """Runs a script with two daemons that start at time 0."""

        async def scenario() -> None:
            first = DaemonParts(self.table)
            second = DaemonParts(self.table, "b2", seed=8, **options_of_second)
            for parts in (first, second):
                parts.start()
            await script(first, second)
            await first.kernel.stop()
            await second.kernel.stop()

        self.run_paused(scenario())

    def assess(
        self, until_s: float, since_s: float = 0.0, every_s: float = 3600.0
    ) -> dict[Promise, list[Verdict]]:
        """Judges a period, given in seconds since the start of the daemons."""
        period = judging.Period(
            round((samples.EPOCH + since_s) * 1000),
            round((samples.EPOCH + until_s) * 1000),
        )
        request = assessment.AssessmentRequest(
            samples.FLEET, period, round(every_s * 1000), 500
        )
        found = self.run_paused(assessment.assess(self.store, request))
        answers: dict[Promise, list[Verdict]] = {}
        for item in found.judgements:
            answers.setdefault(item.promise, []).append(item.verdict)
        return answers

    def unknown_since_s(self, verdict: Verdict) -> float:
        self.assertIsInstance(verdict, NotKnown)
        return verdict.since_ms / 1000 - samples.EPOCH

    def assert_all(
        self, verdict_type: type, answers: dict[Promise, Any]
    ) -> None:
        for promise, verdicts in answers.items():
            for verdict in verdicts:
                self.assertIsInstance(
                    verdict, verdict_type, f"{promise}: {verdict}"
                )


async def end_gracefully(first: DaemonParts, second: DaemonParts) -> None:
    """The first daemon serves a call; both shut down after 100 s."""
    first.kernel.emit(samples.call())
    await asyncio.sleep(100)
    await first.shut_down()
    await second.shut_down()
