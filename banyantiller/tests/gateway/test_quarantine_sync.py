"""Tests of what daemons tell each other of requests that end servers."""

import asyncio
import random
from typing import NamedTuple

import msgspec

from banyantiller.config.defaults import Endpoint
from banyantiller.gateway import crash_detection, mirror, peers, quarantine_sync
from banyantiller.http import messages, server
from banyantiller.quarantine import crash_table
from banyantiller.tests import base
from banyantiller.tests.gateway import harness

PORT = 7501


class Daemon(NamedTuple):
    """What one daemon knows, and how it tells it."""

    crash_detector: crash_detection.CrashDetector
    quarantine_sync: quarantine_sync.QuarantineSync


def make(others=(), asked_itself=False, seed=1):
    rng = random.Random(seed)
    known = crash_detection.CrashDetector(
        crash_table.CrashTable(100.0, rng),
        lambda server: None,
        lambda server: True,
    )
    spreader = quarantine_sync.QuarantineSync(
        known, list(others), asked_itself, rng
    )
    return Daemon(known, spreader)


def peer(port=PORT):
    return peers.Peer(Endpoint(harness.ADDRESS, port), "d1", True, 2.0)


def end(daemon, request="a", *servers):
    now = asyncio.get_running_loop().time()
    for number, name in enumerate(servers):
        sent_at = now + number * 0.2
        daemon.crash_detector.watch.table.record_crash(
            request, name, crash_table.Crash(sent_at, sent_at + 0.1)
        )


async def listen(daemon, port=PORT):
    async def handle(request):
        return daemon.quarantine_sync.handle(request)

    listener = server.HttpServer(handle)
    await listener.start(harness.ADDRESS, port)
    return listener


class SpreadingTest(base.TestCase):
    def test_what_one_has_seen_is_sent_again_until_it_is_taken(self):
        async def body():
            teller = make([peer()])
            end(teller, "a", "s1")
            teller.quarantine_sync.publish(["a"])
            await asyncio.sleep(1.0)
            asked = make(seed=2)
            listener = await listen(asked)
            await asyncio.sleep(1.0)
            self.assertTrue(asked.crash_detector.watch.is_suspect("a"))
            await listener.close()
            teller.quarantine_sync.close()

        self.run_paused(body())

    def test_news_that_come_while_others_are_sent(self):
        async def body():
            teller = make([peer()])
            asked = make(seed=2)
            listener = await listen(asked)
            for number in range(20):
                end(teller, f"r{number}", "s1")
                teller.quarantine_sync.publish([f"r{number}"])
                await asyncio.sleep(0.003 * number)
            await asyncio.sleep(1.0)
            self.assertEqual(20, len(asked.crash_detector.watch.table.records))
            await listener.close()
            teller.quarantine_sync.close()

        self.run_paused(body())

    def test_one_end_is_of_no_interest_to_others(self):
        async def body():
            asked = make(asked_itself=True)
            end(asked, "a", "s1")
            asked.quarantine_sync.publish(["a"])
            await asyncio.sleep(0.1)
            self.assertEqual("", asked.quarantine_sync.mark())
            end(asked, "a", "s2")
            asked.quarantine_sync.publish(["a"])
            await asyncio.sleep(0.1)
            self.assertNotEqual("", asked.quarantine_sync.mark())

        self.run_paused(body())

    def test_only_what_is_new_is_told(self):
        async def body():
            asked = make()
            end(asked, "a", "s1", "s2")
            asked.quarantine_sync.publish(["a"])
            await asyncio.sleep(0.1)
            mark = asked.quarantine_sync.mark()
            for since, told in (("", 1), (mark, 0), ("0badcafe-9", 1)):
                target = f"{quarantine_sync.PATH}?since={since}"
                request = messages.Request("GET", target)
                body = asked.quarantine_sync.handle(request).body
                reply = msgspec.json.decode(body, type=quarantine_sync.Message)
                self.assertEqual(told, len(reply["records"]), since)

        self.run_paused(body())

    def test_messages_that_can_not_be_read(self):
        async def body():
            asked = make()
            for content in (b"", b"[", b'{"mark": "", "records": [1]}'):
                request = messages.Request(
                    "POST", quarantine_sync.PATH, (), content
                )
                self.assertEqual(
                    400, asked.quarantine_sync.handle(request).status
                )
            self.assertEqual({}, asked.crash_detector.watch.table.records)
            for mark in ("nonsense", "0badcafe", "-", "0badcafe-x"):
                seen = []
                other = peer()
                other.on_mark = lambda _, mark, seen=seen: seen.append(mark)
                headers = ((mirror.MARK_FIELD, mark),)
                other._note_mark(messages.Response(200, headers))
                self.assertEqual([""], seen)

        self.run_paused(body())

    def test_a_quarantine_is_lifted_by_a_post_only(self):
        async def body():
            asked = make()
            end(asked, "a", "s1", "s2", "s3")
            target = f"{quarantine_sync.LIFT}?fingerprint=a"
            for method, status in (("GET", 405), ("POST", 204), ("POST", 404)):
                request = messages.Request(method, target)
                self.assertEqual(
                    status, asked.quarantine_sync.handle(request).status
                )

        self.run_paused(body())
