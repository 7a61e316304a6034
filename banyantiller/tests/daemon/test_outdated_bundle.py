"""Tests of refusals while a daemon knows that its bundle may be outdated."""

import asyncio
from collections.abc import Callable

from banyantiller.membership import messages
from banyantiller.store import memory
from banyantiller.tests import base
from banyantiller.tests.bundle import samples
from banyantiller.tests.daemon import test_whole_path as whole

MAPS = """\
  - name: maps
    path: /maps
    servers:
      - {name: maps-1, address: 127.0.0.1, port: 9003}
    requests:
      - {idempotent: true, methods: [GET]}
"""
KEY_REQUIRED = samples.BUNDLE.replace(
    "    path: /orders\n", "    path: /orders\n    key_required: true\n"
)
PROPAGATION_S = 3.0


async def roll(fleet: whole.Fleet, text: str) -> None:
    """Proposes, signs and rolls a bundle with the operators' own store."""
    store = memory.MemoryStore(fleet.table)
    await samples.roll(store, await samples.prepare(store, text))


async def start_with_outdated_bundle(
    fleet: whole.Fleet, *texts: str
) -> Callable[[], None]:
    """Starts two daemons; the second only hears of the last bundle's number.

    Its object API is down, and the first does not get to send it the bundle.

    Returns:
        A function after which the first daemon sends it.
    """
    await fleet.start(2)
    for text in texts[:-1]:
        await roll(fleet, text)
        await asyncio.sleep(whole.SETTLED_S)
    fleet.stores[1].faults.down = True
    handlers = fleet.daemons[0].peers.message_handlers
    send_bundle = handlers.pop(messages.BundleRequest)
    await roll(fleet, texts[-1])
    await asyncio.sleep(PROPAGATION_S)

    def deliver_bundle() -> None:
        handlers[messages.BundleRequest] = send_bundle

    return deliver_bundle


class NewerBundleTest(base.TestCase):
    def test_route_of_a_newer_bundle_is_retryable(self) -> None:
        """A peer's heartbeat names version 2, which has not arrived yet.

        `/maps` exists in version 2 only. The daemon knows that version 1 is
        outdated, so it can't tell that a route does not exist. It said
        `404 unknown_service` with `"retry": false`, and the caller gave up
        on a route that the daemon served once the bundle had arrived.
        """

        async def scenario() -> None:
            fleet = whole.Fleet()
            deliver_bundle = await start_with_outdated_bundle(
                fleet, samples.BUNDLE + MAPS
            )
            self.assertEqual(1, fleet.daemons[1].proxy.version)
            refused = await whole.send(8002, "GET", "/maps/1")
            self.assertEqual(503, refused.status, refused)
            self.assertEqual("no", refused.header("request-ran"))
            self.assertTrue(refused.header("retry-after"))
            served = await whole.send(8002, "GET", "/orders/1")
            self.assertEqual(200, served.status, served)
            deliver_bundle()
            await asyncio.sleep(PROPAGATION_S)
            self.assertEqual(2, fleet.daemons[1].proxy.version)
            served = await whole.send(8002, "GET", "/maps/1")
            self.assertEqual(200, served.status, served)
            unknown = await whole.send(8002, "GET", "/nowhere")
            self.assertEqual(404, unknown.status, unknown)
            await fleet.stop()

        self.run_paused(scenario())

    def test_missing_key_that_a_newer_bundle_may_not_require(self) -> None:
        """Version 2 asks for a key on each deposit, version 3 no more.

        The daemon knows that version 3 is accepted but has not got it. It
        said `400 key_missing` with `"retry": false` for a request that is
        valid under the accepted bundle.
        """

        async def scenario() -> None:
            fleet = whole.Fleet()
            deliver_bundle = await start_with_outdated_bundle(
                fleet, KEY_REQUIRED, samples.BUNDLE
            )
            self.assertEqual(2, fleet.daemons[1].proxy.version)
            refused = await whole.send(8002, "POST", "/orders", b"deposit")
            self.assertEqual(503, refused.status, refused)
            self.assertEqual("no", refused.header("request-ran"))
            self.assertEqual(0, fleet.runs.count("deposit"))
            deliver_bundle()
            await asyncio.sleep(PROPAGATION_S)
            served = await whole.send(8002, "POST", "/orders", b"deposit")
            self.assertEqual(200, served.status, served)
            await fleet.stop()

        self.run_paused(scenario())


class StoreOutageTest(base.TestCase):
    def test_all_daemons_lose_the_object_api(self) -> None:
        """Two daemons hear each other but not the object API, for 30 s.

        Version 2 with `/maps` is accepted meanwhile. Neither daemon can have
        heard of it, and both know that nobody told them for longer than
        `isolated_after_s`. Both said `404 unknown_service` with
        `"retry": false`; a caller that comes back may reach a daemon that
        has the bundle.
        """

        async def scenario() -> None:
            fleet = whole.Fleet()
            await fleet.start(2)
            unknown = await whole.send(8002, "GET", "/maps/1")
            self.assertEqual(404, unknown.status, unknown)
            for store in fleet.stores:
                store.faults.down = True
            await roll(fleet, samples.BUNDLE + MAPS)
            await asyncio.sleep(30.0)
            for port in (8001, 8002):
                refused = await whole.send(port, "GET", "/maps/1")
                self.assertEqual(503, refused.status, refused)
                self.assertEqual("no", refused.header("request-ran"))
                self.assertTrue(refused.header("retry-after"))
                served = await whole.send(port, "GET", "/orders/1")
                self.assertEqual(200, served.status, served)
            for store in fleet.stores:
                store.faults.down = False
            await asyncio.sleep(30.0)
            for port in (8001, 8002):
                served = await whole.send(port, "GET", "/maps/1")
                self.assertEqual(200, served.status, served)
                unknown = await whole.send(port, "GET", "/nowhere")
                self.assertEqual(404, unknown.status, unknown)
            await fleet.stop()

        self.run_paused(scenario())

    def test_isolated_daemon_that_keeps_serving(self) -> None:
        """A daemon alone tells `"isolated": true` on its status page.

        Told to go on, it serves what it knows. That a route does not exist
        is nothing that it knows: it said `404 unknown_service` with
        `"retry": false`.
        """

        async def scenario() -> None:
            fleet = whole.Fleet()
            await fleet.start(1)
            fleet.stores[0].faults.down = True
            await roll(fleet, samples.BUNDLE + MAPS)
            await asyncio.sleep(30.0)
            self.assertTrue(fleet.daemons[0].replicator.isolated)
            refused = await whole.send(8001, "GET", "/maps/1")
            self.assertEqual(503, refused.status, refused)
            served = await whole.send(8001, "GET", "/orders/1")
            self.assertEqual(200, served.status, served)
            await fleet.stop()

        self.run_paused(scenario())

    def test_daemon_that_starts_with_an_outdated_peer(self) -> None:
        """A daemon starts while the object API does not answer.

        It takes version 1 from the only peer, which is cut off from the
        object API too; version 2 with `/maps` is accepted. The new daemon
        never had an answer that says which version is accepted, and yet said
        `404 unknown_service` with `"retry": false` 5 s after its start.
        """

        async def scenario() -> None:
            fleet = whole.Fleet()
            await fleet.start(1)
            fleet.stores[0].faults.down = True
            await roll(fleet, samples.BUNDLE + MAPS)
            down = memory.Faults(down=True)
            started = await fleet.add(whole.settings(2), down)
            await asyncio.sleep(whole.SETTLED_S)
            self.assertEqual(1, started.proxy.version)
            refused = await whole.send(8002, "GET", "/maps/1")
            self.assertEqual(503, refused.status, refused)
            self.assertEqual("no", refused.header("request-ran"))
            served = await whole.send(8002, "GET", "/orders/1")
            self.assertEqual(200, served.status, served)
            down.down = False
            await asyncio.sleep(30.0)
            served = await whole.send(8002, "GET", "/maps/1")
            self.assertEqual(200, served.status, served)
            await fleet.stop()

        self.run_paused(scenario())
