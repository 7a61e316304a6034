"""Tests of judging: crashes, outages, altered evidence, breaches."""

import asyncio
from collections.abc import Callable
from typing import Any

from banyantiller import exceptions
from banyantiller.bundle import options
from banyantiller.evidence import audit, chain, layout
from banyantiller.evidence.promises import Promise
from banyantiller.evidence.summary import MAX_MEMBERS
from banyantiller.evidence.verdicts import Broken, Held, NotKnown, Verdict
from banyantiller.kernel import events
from banyantiller.tests.evidence import samples
from banyantiller.tests.evidence.judging_case import JudgingCase, end_gracefully

DaemonParts = samples.DaemonParts


class CoverageTest(JudgingCase):
    def test_complete_evidence_without_breaches_is_held(self) -> None:
        self.run_script(end_gracefully)
        answers = self.assess(90)
        self.assert_all(Held, answers)
        self.assertEqual(1, answers[Promise.AT_MOST_ONCE][0].calls)

    def test_without_any_evidence_nothing_is_known(self) -> None:
        self.assert_all(NotKnown, self.assess(90))

    def test_time_after_the_shutdown_of_all_daemons_is_not_known(self) -> None:
        self.run_script(end_gracefully)
        verdict = self.assess(200)[Promise.AT_MOST_ONCE][0]
        self.assertTrue(100 <= self.unknown_since_s(verdict) < 106)

    def test_crashed_daemon_is_not_known_after_its_last_summary(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            await asyncio.sleep(45)
            await second.crash()
            await asyncio.sleep(100)

        self.run_script(script)
        verdict = self.assess(120)[Promise.AT_MOST_ONCE][0]
        self.assertAlmostEqual(40, self.unknown_since_s(verdict), 1)
        self.assertEqual({"b2"}, {item.daemon for item in verdict.unknown})
        self.assert_all(Held, self.assess(40))

    def test_operator_states_that_a_crashed_daemon_is_gone(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            await asyncio.sleep(45)
            await second.crash()
            await asyncio.sleep(100)
            gone_ms = round((samples.EPOCH + 60) * 1000)
            detail = {"daemon": "b2", "gone_ms": gone_ms}
            await audit.append(
                self.store, "fleet", "daemon_gone", "awa", detail, first.wall
            )

        self.run_script(script)
        self.assert_all(Held, self.assess(120, since_s=60))
        self.assert_all(NotKnown, self.assess(60, since_s=30))

    def test_restart_under_the_same_name_ends_the_gap(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            await asyncio.sleep(45)
            await second.crash()
            await asyncio.sleep(30)
            restarted = DaemonParts(self.table, "b2")
            restarted.start()
            await asyncio.sleep(60)
            await restarted.kernel.stop()

        self.run_script(script)
        answers = self.assess(120, every_s=10)
        verdict_types = [
            type(item) for item in answers[Promise.WHOLE_OWN_ANSWER]
        ]
        self.assertEqual([Held] * 4, verdict_types[:4])
        self.assertEqual([NotKnown] * 4, verdict_types[4:8])
        self.assertEqual([Held] * 4, verdict_types[8:])

    def test_daemon_without_summaries_that_a_peer_reported(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            started_ms = round(first.wall() * 1000) + 15_000
            await asyncio.sleep(16)
            first.kernel.emit(events.MemberChanged("b3", "alive", started_ms))
            await asyncio.sleep(84)

        self.run_script(script)
        verdict = self.assess(80)[Promise.AT_MOST_ONCE][0]
        self.assertIn("b3", {item.daemon for item in verdict.unknown})

    def test_unlisted_member_changes_are_not_known(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            start_ms = round(samples.EPOCH * 1000)
            await asyncio.sleep(15)
            for _ in range(MAX_MEMBERS):
                flap = events.MemberChanged("b2", "suspect", start_ms)
                first.kernel.emit(flap)
            unannounced = events.MemberChanged("b3", "alive", start_ms)
            first.kernel.emit(unannounced)
            await end_gracefully(first, second)

        self.run_script(script)
        self.assert_all(NotKnown, self.assess(90))

    def test_run_reported_by_a_peer_with_a_slightly_different_start(
        self,
    ) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            started_ms = second.writer.run_info.started_ms + 40
            first.kernel.emit(events.MemberChanged("b2", "alive", started_ms))
            await end_gracefully(first, second)

        self.run_script(script)
        self.assert_all(Held, self.assess(90))


class OutageTest(JudgingCase):
    def test_evidence_written_after_an_outage_counts(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            second.store.faults.down = True
            await asyncio.sleep(500)
            second.kernel.emit(samples.call("r1", cut=True))
            await asyncio.sleep(100)
            second.store.faults.down = False
            await asyncio.sleep(50)

        self.run_script(script)
        answers = self.assess(600)
        self.assertIsInstance(answers[Promise.AT_MOST_ONCE][0], Held)
        broken = answers[Promise.WHOLE_OWN_ANSWER][0]
        self.assertEqual(["r1"], [item.request_id for item in broken.named])

    def test_evidence_lost_by_a_shutdown_during_an_outage(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            await asyncio.sleep(35)
            second.store.faults.down = True
            await asyncio.sleep(60)
            second.kernel.emit(samples.call("r1", cut=True))
            await second.shut_down()
            await asyncio.sleep(100)

        self.run_script(script)
        answers = self.assess(150)
        self.assertAlmostEqual(
            30, self.unknown_since_s(answers[Promise.WHOLE_OWN_ANSWER][0]), 1
        )

    def test_store_outage_while_judging_is_an_error(self) -> None:
        self.run_script(end_gracefully)
        self.store.faults.down = True
        self.assertRaises(exceptions.StoreError, self.assess, 90)


class AlterationTest(JudgingCase):
    def alter(self, change: Callable[[list[Any]], None]) -> None:
        """Changes the records of the second daemon's first block."""
        for item in self.table.list(layout.BLOCK_KIND).items:
            if item.value["daemon"] == "b2":
                change(item.value["records"])
                self.table.update(item, item.value)
                return

    def test_altered_record_is_a_gap_for_its_period_only(self) -> None:
        def change(records: list[Any]) -> None:
            records[3]["calls"] = {"registry": 5}

        self.run_script(end_gracefully)
        self.alter(change)
        verdict_types = [
            type(v) for v in self.assess(90, every_s=10)[Promise.AT_MOST_ONCE]
        ]
        self.assertEqual(1, verdict_types.count(NotKnown))
        self.assertIs(NotKnown, verdict_types[2])

    def test_breach_removed_with_a_new_digest_is_found_by_the_link(
        self,
    ) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            await asyncio.sleep(25)
            second.kernel.emit(samples.call("r1", cut=True))
            await end_gracefully(first, second)

        def change(records: list[Any]) -> None:
            for index, record in enumerate(records):
                if "breaches" in record:
                    del record["breaches"], record["breach_counts"]
                    records[index] = chain.sealed(record)

        self.run_script(script)
        before = self.assess(90)[Promise.WHOLE_OWN_ANSWER][0]
        self.assertEqual(["r1"], [item.request_id for item in before.named])
        self.alter(change)
        after = self.assess(90)[Promise.WHOLE_OWN_ANSWER][0]
        self.assertIsInstance(after, NotKnown)

    def test_removed_record(self) -> None:
        self.run_script(end_gracefully)
        self.alter(lambda records: records.pop(4))
        verdict = self.assess(90)[Promise.AT_MOST_ONCE][0]
        self.assertIn("missing", verdict.unknown[0].why)

    def test_second_record_with_the_same_sequence_number(self) -> None:
        """A forged block contains a different version of a stored record."""
        self.run_script(end_gracefully)
        item = next(
            item
            for item in self.table.list(layout.BLOCK_KIND).items
            if item.value["daemon"] == "b2"
        )
        forged = chain.sealed({**item.value["records"][3], "cut": 1})
        value = {**item.value, "records": [forged]}
        name = item.name + "x"
        self.table.create(layout.BLOCK_KIND, name, value, item.labels)
        verdict = self.assess(90)[Promise.AT_MOST_ONCE][0]
        self.assertIn("exists twice", verdict.unknown[0].why)

    def test_removed_last_block(self) -> None:
        self.run_script(end_gracefully)
        blocks = [
            item
            for item in self.table.list(layout.BLOCK_KIND).items
            if item.value["daemon"] == "b2"
        ]
        self.table.delete(blocks[-1])
        verdict = self.assess(110)[Promise.AT_MOST_ONCE][0]
        self.assertIn("last summary", verdict.unknown[0].why)

    def test_invalid_records_in_a_block(self) -> None:
        def change(records: list[Any]) -> None:
            records[:] = [7, {"sequence": 2}, {"sequence": "x"}, None]

        self.run_script(end_gracefully)
        self.alter(change)
        self.assert_all(NotKnown, self.assess(90))

    def test_all_blocks_of_an_announced_run_removed(
        self,
    ) -> None:
        self.run_script(end_gracefully)
        for item in self.table.list(layout.BLOCK_KIND).items:
            if item.value["daemon"] == "b2":
                self.table.delete(item)
        self.assert_all(NotKnown, self.assess(90))

    def test_damaged_audit_trail_makes_bundles_not_known(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            for _ in range(3):
                await audit.append(
                    self.store, "fleet", "roll", "awa", {}, first.wall
                )
                await asyncio.sleep(10)
            await end_gracefully(first, second)

        self.run_script(script)
        self.assert_all(Held, self.assess(90))
        entry = self.table.list("auditentries").items[1]
        self.table.delete(entry)
        answers = self.assess(90, every_s=30)
        verdict_types = [type(v) for v in answers[Promise.BUNDLE_IN_FORCE]]
        self.assertEqual([NotKnown, Held, Held], verdict_types)
        self.assertIsInstance(answers[Promise.AT_MOST_ONCE][0], Held)


class BreachTest(JudgingCase):
    def test_breach_is_reported_despite_a_gap_of_another_daemon(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            await asyncio.sleep(15)
            second.kernel.emit(samples.call("r1", idempotent=False, attempts=2))
            await first.crash()
            await asyncio.sleep(100)

        self.run_script(script)
        verdict = self.assess(60)[Promise.AT_MOST_ONCE][0]
        self.assertIsInstance(verdict, Broken)
        self.assertEqual("r1", verdict.named[0].request_id)
        self.assertEqual("b1", verdict.unknown[0].daemon)

    def test_breaches_beyond_the_list_are_counted(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            for index in range(7):
                second.kernel.emit(samples.call(f"r{index}", cut=True))
            await end_gracefully(first, second)

        self.run_script(script, most_requests=3)
        verdict = self.assess(90)[Promise.WHOLE_OWN_ANSWER][0]
        self.assertEqual((3, 4), (len(verdict.named), verdict.unnamed))

    def test_breach_counts_in_one_part_only(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            await asyncio.sleep(25)
            second.kernel.emit(samples.call("r1", cut=True))
            await end_gracefully(first, second)

        self.run_script(script)
        verdicts = self.assess(90, every_s=10)[Promise.WHOLE_OWN_ANSWER]
        verdict_types = [type(verdict) for verdict in verdicts]
        self.assertEqual(1, verdict_types.count(Broken))
        self.assertIs(Broken, verdict_types[2])

    def judge_probes(self, count: int, configured: bool = True) -> Verdict:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            for parts in (first, second):
                if configured:
                    parts.recorder.configure([options.Service("registry", ())])
                for _ in range(count):
                    event = events.ProbeCharged("registry", parts.wall())
                    parts.kernel.emit(event)
            await end_gracefully(first, second)

        self.run_script(script)
        return self.assess(90)[Promise.MEASURING_IN_BUDGET][0]

    def test_probes_within_the_budget(self) -> None:
        self.assertIsInstance(self.judge_probes(85), Held)

    def test_probes_over_the_budget_of_the_fleet(self) -> None:
        verdict = self.judge_probes(110)
        self.assertIsInstance(verdict, Broken)
        self.assertIn("220 probes", verdict.named[0].detail)

    def test_probes_while_the_budget_changed(self) -> None:
        async def script(first: DaemonParts, second: DaemonParts) -> None:
            service = options.Service("registry", ())
            low = options.MeasuringPolicy(probes_per_second=0.5)
            first.recorder.configure([service])
            second.recorder.configure([service._replace(measuring=low)])
            for parts in (first, second):
                for _ in range(50):
                    event = events.ProbeCharged("registry", parts.wall())
                    parts.kernel.emit(event)
            await end_gracefully(first, second)

        self.run_script(script)
        verdict = self.assess(90)[Promise.MEASURING_IN_BUDGET][0]
        self.assertIsInstance(verdict, NotKnown)

    def test_probes_without_a_known_budget(self) -> None:
        self.assertIsInstance(self.judge_probes(1, configured=False), NotKnown)
