"""Tests of rejections by a daemon whose bundle may be outdated."""

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
    """Proposes, signs and rolls a bundle through a store without faults."""
    store = memory.MemoryStore(fleet.table)
    await samples.roll(store, await samples.prepare(store, text))


async def start_with_outdated_bundle(
    fleet: whole.Fleet, *texts: str
) -> Callable[[], None]:
    """Starts two daemons; the second learns only the last bundle's version.

    Its object API is down, and the first daemon does not answer its requests
    for the bundle.

    Returns:
        A function that lets the first daemon send the bundle.
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
        outdated, so it cannot know that a route does not exist. With
        `404 unknown_service` and `"retry": false` the caller would give up on
        a route that the daemon serves once the bundle has arrived.
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
        """Version 2 requires a key for each deposit, version 3 does not.

        The daemon knows that version 3 is accepted but has not received it. It
        must not answer `400 key_missing` with `"retry": false` to a request
        that is valid under the accepted bundle.
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
        """Two daemons reach each other but not the object API for 30 s.

        Version 2 with `/maps` is accepted meanwhile. Neither daemon can have
        learned of it, and both know that they had no update for longer than
        `isolated_after_s`. They must not answer `404 unknown_service` with
        `"retry": false`, since a caller that retries may reach a daemon that
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
        """A daemon without peers shows `"isolated": true` on its status page.

        Configured to keep serving, it serves the routes of its bundle. It
        cannot know that other routes do not exist, so it must not answer
        `404 unknown_service` with `"retry": false`.
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

        It receives version 1 from the only peer, which cannot reach the object
        API either; version 2 with `/maps` is accepted. The new daemon never
        learned which version is accepted, so it must not answer
        `404 unknown_service` with `"retry": false`, not even 5 s after its
        start.
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
