"""Tests of the reload of a changed settings file."""

import asyncio

import structlog

from banyantiller.config import defaults
from banyantiller.daemon import reload
from banyantiller.tests import base
from banyantiller.tests.daemon import test_whole_path as whole


class ReloadTest(base.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.addCleanup(structlog.reset_defaults)

    def test_running_call_continues_and_keys_are_applied(self) -> None:
        async def scenario() -> None:
            fleet = whole.Fleet()
            await fleet.start(1)
            fleet.service_s = 3.0
            daemon = fleet.daemons[0]
            call = asyncio.create_task(whole.send(8001, "GET", "/orders/1"))
            await asyncio.sleep(0.5)
            fewer = daemon.settings.trusted_keys[:2]
            drain = defaults.DrainSettings(grace_s=0.0, limit_s=20.0)
            reload.apply(
                daemon,
                daemon.settings._replace(trusted_keys=fewer, drain=drain),
            )
            self.assertEqual(fewer, daemon.replicator.replica.trusted_keys)
            self.assertEqual(0.0, daemon.settings.drain.grace_s)
            self.assertEqual(200, (await call).status)
            await fleet.stop()

        self.run_paused(scenario())

    def test_addresses_stay_until_a_restart(self) -> None:
        async def scenario() -> None:
            fleet = whole.Fleet()
            await fleet.start(1)
            daemon = fleet.daemons[0]
            new_settings = daemon.settings._replace(
                admin=defaults.Endpoint("127.0.0.1", 9999)
            )
            reload.apply(daemon, new_settings)
            self.assertEqual(8101, daemon.settings.admin.port)
            await fleet.stop()

        self.run_paused(scenario())
