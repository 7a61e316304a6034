"""Start, reload and graceful shutdown of a daemon."""

import asyncio
import signal

import structlog

from banyantiller import exceptions
from banyantiller.config import settings as loading
from banyantiller.daemon import assembly, reload

log = structlog.get_logger("banyantiller.daemon")


class Lifecycle:
    """Handles the signals that reload and stop a daemon.

    Attributes:
        daemon: The daemon.
        path: Path of its settings file, read again on SIGHUP.
        stop_requested: Set on SIGTERM or SIGINT.
    """

    def __init__(self, daemon: assembly.Daemon, path: str) -> None:
        self.daemon = daemon
        self.path = path
        self.stop_requested = asyncio.Event()

    async def run(self) -> int:
        """Runs the daemon until SIGTERM or SIGINT, then drains it.

        Returns:
            Number of calls that were cut at the drain limit.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.daemon.start()
        await self.stop_requested.wait()
        return await self.daemon.stop()

    def reload(self) -> None:
        """Reloads the settings file; an invalid file changes nothing."""
        try:
            new_settings = loading.load(self.path)
        except exceptions.BanyantillerError as error:
            log.error("daemon: settings were not reloaded.", error=str(error))
            return
        reload.apply(self.daemon, new_settings)
