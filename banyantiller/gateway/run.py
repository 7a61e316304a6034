"""The gateway as a program: start, reload and graceful end."""

import asyncio
import os
import random
import signal
import sys

import structlog

from banyantiller import exceptions, plugins
from banyantiller.gateway import gateway as gateways
from banyantiller.gateway import settings as options
from banyantiller.http import messages, server
from banyantiller.kernel import core
from banyantiller.telemetry import logs

log = structlog.get_logger("banyantiller.gateway")

SETTINGS_VARIABLE = "BANYANTILLER_NODE_FILE"
EXIT_CUT = 1
READY_LIMITS = messages.Limits(head_s=2.0, idle_s=10.0, connections=64)


class Daemon:
    """The parts of a gateway daemon and their life.

    Attributes:
        path: Path of the settings file, read again on SIGHUP.
        settings: Settings in force.
        gateway: Serves callers.
        ending: Set once the daemon was told to end.
    """

    def __init__(self, path: str, settings: options.Settings) -> None:
        self.path = path
        self.settings = settings
        registry = plugins.Registry.from_names(settings.plugins)
        create = registry.get("gateway", settings.adapter)
        adapter = create(options.endpoint(settings.store))
        rng = random.Random(random.SystemRandom().getrandbits(64))
        self.gateway = gateways.Gateway(settings, adapter, rng)
        self.kernel = core.Kernel()
        self.ready = server.HttpServer(self._answer_ready, READY_LIMITS)
        self.ending = asyncio.Event()

    async def run(self) -> int:
        """Runs until SIGTERM or SIGINT, then drains.

        Returns:
            Number of calls that were cut.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.ending.set)
        loop.add_signal_handler(signal.SIGINT, self.ending.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        for follower in self.gateway.followers():
            self.kernel.start(follower.kind, follower.run)
        self.kernel.start("housekeeping", self.gateway.keep_house)
        ready = options.endpoint(self.settings.ready)
        await self.ready.start(ready.address, ready.port)
        await self.gateway.start(options.endpoint(self.settings.callers))
        log.info("gateway: started.", callers=self.settings.callers)
        await self.ending.wait()
        log.info("gateway: ending.", connections=len(self.gateway.connections))
        cut = await self.gateway.drain(self.settings.drain_s)
        await self.kernel.stop()
        await self.gateway.close()
        await self.ready.close()
        log.info("gateway: ended.", cut=cut)
        return cut

    def reload(self) -> None:
        """Reads the settings again; a bad file changes nothing."""
        try:
            fresh = options.load(self.path)
        except exceptions.BanyantillerError as error:
            log.error("gateway: settings were not reloaded.", error=str(error))
            return
        self.settings = fresh
        self.gateway.settings = fresh
        self.gateway.budgets.clear()
        log.info("gateway: settings reloaded.")

    async def _answer_ready(
        self, request: messages.Request
    ) -> messages.Response:
        del request
        reason = self.gateway.not_ready()
        return messages.Response(503 if reason else 200, (), reason.encode())


def run(argv: list[str]) -> int:
    """Runs a gateway daemon.

    Args:
        argv: Arguments after the program's name: the settings file, or
            nothing if the environment names it.

    Returns:
        0 after a graceful end, 1 when calls were cut, or the exit code of
        the error that kept the daemon from starting.
    """
    path = argv[0] if argv else os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        sys.stderr.write("usage: python -m banyantiller.gateway SETTINGS\n")
        return exceptions.ConfigError.exit_code
    try:
        return EXIT_CUT if asyncio.run(_main(path)) else 0
    except exceptions.BanyantillerError as error:
        sys.stderr.write(f"gateway: {error}\n")
        return error.exit_code


async def _main(path: str) -> int:
    settings = options.load(path)
    logs.configure(settings.log, sys.stdout, daemon=settings.daemon)
    return await Daemon(path, settings).run()
