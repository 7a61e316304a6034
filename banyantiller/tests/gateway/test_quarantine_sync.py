"""Tests of the exchange of records of requests that crash servers."""

import asyncio
import random
from typing import NamedTuple

import msgspec

from banyantiller.config.defaults import Endpoint
from banyantiller.gateway import (
    crash_detection,
    mirror,
    peers,
    quarantine_sync,
    relays,
    servers,
)
from banyantiller.http import messages, server
from banyantiller.quarantine import crash_table
from banyantiller.tests import base
from banyantiller.tests.gateway import harness

PORT = 7501
OWN_ADDRESS = f"{harness.ADDRESS}:7502"


class Daemon(NamedTuple):
    """The parts of one daemon that detect and synchronise crashes."""

    crash_detector: crash_detection.CrashDetector
    quarantine_sync: quarantine_sync.QuarantineSync


def make_daemon(addresses=(), is_relay=False, seed=1):
    rng = random.Random(seed)
    detector = crash_detection.CrashDetector(
        crash_table.CrashTable(100.0, rng),
        lambda server: None,
        servers.ServerTable(),
        rng,
    )
    own_address = OWN_ADDRESS if is_relay else ""
    seeds = [*addresses, OWN_ADDRESS] if is_relay else addresses
    fleet_relays = relays.Relays("d1", own_address, seeds, 2.0, rng)
    sync = quarantine_sync.QuarantineSync(detector, fleet_relays, rng)
    return Daemon(detector, sync)


def record_crashes(daemon, request="a", *servers):
    now = asyncio.get_running_loop().time()
    for number, name in enumerate(servers):
        sent_at = now + number * 0.2
        daemon.crash_detector.tracker.table.record_crash(
            request, name, crash_table.Crash(sent_at, sent_at + 0.1)
        )


async def start_listener(daemon, port=PORT):
    async def handle(request):
        return daemon.quarantine_sync.handle(request)

    listener = server.HttpServer(handle)
    await listener.start(harness.ADDRESS, port)
    return listener


class QuarantineSyncTest(base.TestCase):
    def test_records_are_sent_again_until_they_are_accepted(self):
        async def body():
            sender = make_daemon([f"{harness.ADDRESS}:{PORT}"])
            record_crashes(sender, "a", "s1")
            sender.quarantine_sync.publish(["a"])
            await asyncio.sleep(1.0)
            relay = make_daemon(seed=2)
            listener = await start_listener(relay)
            await asyncio.sleep(1.0)
            self.assertTrue(relay.crash_detector.tracker.is_suspect("a"))
            await listener.close()
            sender.quarantine_sync.close()

        self.run_paused(body())

    def test_records_that_change_while_others_are_sent(self):
        async def body():
            sender = make_daemon([f"{harness.ADDRESS}:{PORT}"])
            relay = make_daemon(seed=2)
            listener = await start_listener(relay)
            for number in range(20):
                record_crashes(sender, f"r{number}", "s1")
                sender.quarantine_sync.publish([f"r{number}"])
                await asyncio.sleep(0.003 * number)
            await asyncio.sleep(1.0)
            self.assertEqual(
                20, len(relay.crash_detector.tracker.table.records)
            )
            await listener.close()
            sender.quarantine_sync.close()

        self.run_paused(body())

    def test_single_crash_is_not_announced_to_peers(self):
        async def body():
            relay = make_daemon(is_relay=True)
            record_crashes(relay, "a", "s1")
            relay.quarantine_sync.publish(["a"])
            await asyncio.sleep(0.1)
            self.assertEqual("", relay.quarantine_sync.mark())
            record_crashes(relay, "a", "s2")
            relay.quarantine_sync.publish(["a"])
            await asyncio.sleep(0.1)
            self.assertNotEqual("", relay.quarantine_sync.mark())

        self.run_paused(body())

    def test_only_new_records_are_sent(self):
        async def body():
            relay = make_daemon()
            record_crashes(relay, "a", "s1", "s2")
            relay.quarantine_sync.publish(["a"])
            await asyncio.sleep(0.1)
            mark = relay.quarantine_sync.mark()
            for since, expected in (("", 1), (mark, 0), ("0badcafe-9", 1)):
                target = f"{quarantine_sync.PATH}?since={since}"
                request = messages.Request("GET", target)
                body = relay.quarantine_sync.handle(request).body
                reply = msgspec.json.decode(body, type=quarantine_sync.Message)
                self.assertEqual(expected, len(reply["records"]), since)

        self.run_paused(body())

    def test_unreadable_messages(self):
        async def body():
            relay = make_daemon()
            for content in (b"", b"[", b'{"mark": "", "records": [1]}'):
                request = messages.Request(
                    "POST", quarantine_sync.PATH, (), content
                )
                self.assertEqual(
                    400, relay.quarantine_sync.handle(request).status
                )
            self.assertEqual({}, relay.crash_detector.tracker.table.records)
            for mark in ("nonsense", "0badcafe", "-", "0badcafe-x"):
                received = []
                endpoint = Endpoint(harness.ADDRESS, PORT)
                other_peer = peers.Peer(endpoint, "d1", True, 2.0)
                other_peer.on_mark = lambda _, mark, received=received: (
                    received.append(mark)
                )
                headers = ((mirror.MARK_FIELD, mark),)
                other_peer._record_mark(messages.Response(200, headers))
                self.assertEqual([""], received)

        self.run_paused(body())

    def test_quarantine_is_lifted_only_by_post(self):
        async def body():
            relay = make_daemon()
            record_crashes(relay, "a", "s1", "s2", "s3")
            target = f"{quarantine_sync.LIFT}?fingerprint=a"
            for method, status in (("GET", 405), ("POST", 204), ("POST", 404)):
                request = messages.Request(method, target)
                self.assertEqual(
                    status, relay.quarantine_sync.handle(request).status
                )

        self.run_paused(body())
