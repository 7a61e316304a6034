"""Tests of judging bundles: delays, clock differences, reverts, restarts."""

import asyncio

from banyantiller.bundle import manifest, reading
from banyantiller.evidence import audit
from banyantiller.evidence.promises import Promise
from banyantiller.evidence.summary import MAX_BUNDLES
from banyantiller.evidence.verdicts import Broken, Held, NotKnown, Verdict
from banyantiller.tests.evidence import samples
from banyantiller.tests.evidence.judging_case import JudgingCase

DaemonParts = samples.DaemonParts


class BundleTest(JudgingCase):
    def judge_delays(
        self,
        delays_s: dict[int, float],
        until_s: float = 90.0,
        offset_s: float = 0.0,
    ) -> Verdict:
        """Judges versions that `b2` applies with the given delays.

        Each version is accepted at 20 s times its number; `b1` applies it at
        once.
        """

        async def script(first: DaemonParts, second: DaemonParts) -> None:
            now = asyncio.get_running_loop().time
            for version, delay_s in delays_s.items():
                accepted_s = 20.0 * version
                accepted_at = samples.EPOCH + accepted_s
                await asyncio.sleep(accepted_s - now())
                first.bundle(version, accepted_at)
                await asyncio.sleep(delay_s)
                second.bundle(version, accepted_at)
            await asyncio.sleep(100 - now())

        self.run_script(script, clock_offset_s=offset_s)
        return self.assess(until_s)[Promise.BUNDLE_IN_FORCE][0]

    def test_bundle_in_force_within_the_limit(self) -> None:
        self.assertIsInstance(self.judge_delays({1: 0.2, 2: 3.0}), Held)

    def test_order_of_unlisted_bundles_is_not_known(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            await asyncio.sleep(20)
            for version in (*range(1, MAX_BUNDLES + 2), MAX_BUNDLES):
                for parts in (first, second):
                    parts.bundle(version, samples.EPOCH + 20)
            await asyncio.sleep(80)
            await first.shut_down()
            await second.shut_down()

        self.run_script(script)
        verdict = self.assess(90)[Promise.BUNDLE_IN_FORCE][0]
        self.assertIsInstance(verdict, NotKnown)
        self.assertIn("only counted", verdict.unknown[0].why)

    def test_bundle_in_force_after_the_limit(self) -> None:
        verdict = self.judge_delays({1: 0.2, 2: 6.0})
        self.assertIsInstance(verdict, Broken)
        self.assertEqual("b2", verdict.named[0].daemon)
        self.assertIn("after 6.0 s", verdict.named[0].detail)

    def test_delay_within_the_clock_tolerance_of_the_limit(self) -> None:
        self.assertIsInstance(self.judge_delays({1: 3.8}), NotKnown)

    def test_clocks_that_differ_within_the_tolerance(self) -> None:
        self.assertIsInstance(self.judge_delays({1: 0.1}, offset_s=-0.4), Held)

    def test_clocks_that_differ_beyond_the_tolerance(self) -> None:
        self.assertIsInstance(
            self.judge_delays({1: 0.1}, offset_s=-3.0), NotKnown
        )

    def test_version_that_is_not_due_yet(self) -> None:
        self.assertIsInstance(self.judge_delays({1: 0.1}, until_s=22), NotKnown)

    def test_version_that_never_came_into_force(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            for parts in (first, second):
                parts.bundle(1, samples.EPOCH)
            await asyncio.sleep(30)
            first.bundle(2, first.wall())
            await asyncio.sleep(70)

        self.run_script(script)
        verdict = self.assess(90)[Promise.BUNDLE_IN_FORCE][0]
        self.assertIn("not at all", verdict.named[0].detail)

    def test_evidence_missing_when_the_version_was_due(self) -> None:
        """The gap is in a later part than the acceptance."""

        async def script(first: DaemonParts, second: DaemonParts) -> None:
            for parts in (first, second):
                parts.bundle(1, samples.EPOCH)
            await asyncio.sleep(29)
            first.bundle(2, first.wall())
            await asyncio.sleep(2)
            await second.crash()
            await asyncio.sleep(30)
            restarted = DaemonParts(self.table, "b2")
            restarted.start()
            restarted.bundle(2, samples.EPOCH + 29)
            await asyncio.sleep(30)
            await restarted.kernel.stop()

        self.run_script(script)
        verdict = self.assess(80, every_s=10)[Promise.BUNDLE_IN_FORCE][2]
        self.assertIsInstance(verdict, NotKnown)
        self.assertIn("Evidence is missing", verdict.unknown[0].why)

    def test_unlisted_versions_are_not_known(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            for parts in (first, second):
                parts.bundle(1, samples.EPOCH)
            await asyncio.sleep(10.2)
            for version in range(2, 101):
                for parts in (first, second):
                    parts.bundle(version, parts.wall())
                await asyncio.sleep(0.05)
            await asyncio.sleep(80)

        self.run_script(script)
        accepted_at = samples.EPOCH + 10.2 + 0.05 * 98
        detail = {"version": 100, "result": "rolled"}
        self.run_paused(
            audit.append(
                self.store,
                "fleet",
                "roll_result",
                "awa",
                detail,
                lambda: accepted_at,
            )
        )
        verdict = self.assess(90)[Promise.BUNDLE_IN_FORCE][0]
        self.assertIsInstance(verdict, NotKnown)
        self.assertIn("only counted", verdict.unknown[0].why)

    def test_new_daemon_without_a_bundle_breaks_nothing(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            for parts in (first, second):
                parts.bundle(1, samples.EPOCH)
            await asyncio.sleep(5)
            third = DaemonParts(self.table, "b3")
            third.start()
            await asyncio.sleep(95)
            await third.kernel.stop()

        self.run_script(script)
        self.assert_all(Held, self.assess(90))

    def test_accepted_head_that_no_daemon_applied(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            for parts in (first, second):
                parts.bundle(1, samples.EPOCH)
            await asyncio.sleep(20)
            accepted = manifest.AcceptedBundle(
                manifest.Manifest("fleet", 2, "", "awa", "", ()),
                (),
                first.wall(),
                "awa",
            )
            value = reading.head_value(accepted)
            self.table.create(reading.HEADS, "fleet", value)
            await asyncio.sleep(80)

        self.run_script(script)
        verdict = self.assess(90)[Promise.BUNDLE_IN_FORCE][0]
        self.assertIsInstance(verdict, Broken)

    def test_revert_within_a_run(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            for parts in (first, second):
                parts.bundle(1, samples.EPOCH)
                parts.bundle(2, samples.EPOCH)
            await asyncio.sleep(1)
            second.bundle(1, samples.EPOCH)
            await asyncio.sleep(99)

        self.run_script(script)
        verdict = self.assess(90)[Promise.BUNDLE_IN_FORCE][0]
        self.assertIn("after version 2", verdict.named[0].detail)

    def test_restart_with_an_older_bundle(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            for parts in (first, second):
                parts.bundle(1, samples.EPOCH)
                parts.bundle(2, samples.EPOCH + 0.1)
            await asyncio.sleep(30)
            await second.shut_down()
            restarted = DaemonParts(self.table, "b2")
            restarted.start()
            restarted.bundle(1, samples.EPOCH)
            await asyncio.sleep(2)
            restarted.bundle(2, samples.EPOCH + 0.1)
            await asyncio.sleep(60)
            await restarted.kernel.stop()

        self.run_script(script)
        verdict = self.assess(80)[Promise.BUNDLE_IN_FORCE][0]
        self.assertIsInstance(verdict, Broken)
        self.assertIn("although version 2", verdict.named[0].detail)

    def test_limit_of_a_later_daemon_counts_from_its_start(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            for parts in (first, second):
                parts.bundle(1, samples.EPOCH)
            await asyncio.sleep(30)
            third = DaemonParts(self.table, "b3")
            third.start()
            await asyncio.sleep(1)
            third.bundle(1, samples.EPOCH)
            await asyncio.sleep(69)
            await third.kernel.stop()

        self.run_script(script)
        self.assert_all(Held, self.assess(90))

    def test_version_known_only_from_the_audit_trail(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            for parts in (first, second):
                parts.bundle(1, samples.EPOCH)
            await asyncio.sleep(20)
            detail = {"version": 2, "digest": "d", "result": "rolled"}
            await audit.append(
                self.store, "fleet", "roll_result", "awa", detail, first.wall
            )
            await asyncio.sleep(80)

        self.run_script(script)
        verdict = self.assess(90)[Promise.BUNDLE_IN_FORCE][0]
        self.assertIsInstance(verdict, Broken)
        self.assertEqual(2, len(verdict.named))
