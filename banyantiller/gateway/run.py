"""The gateway as a program: start, reload and graceful end."""

import asyncio
import importlib
import os
import random
import signal
import socket
import sys
from typing import Any

from banyantiller import exceptions, plugins
from banyantiller.gateway import events, tls_imports
from banyantiller.gateway import gateway as gateways
from banyantiller.gateway import settings as options
from banyantiller.http import messages, server
from banyantiller.kernel import core
from banyantiller.telemetry import logs, sink

SETTINGS_VARIABLE = "BANYANTILLER_NODE_FILE"
EXIT_CUT = 1
METRICS_PATH = "/metrics"
TEXT = "text/plain; version=0.0.4; charset=utf-8"
# How often the settings file is looked at: it may change without a signal.
SETTINGS_PERIOD_S = 1.0
SIDE_LIMITS = messages.Limits(head_s=2.0, idle_s=10.0, connections=64)


# A fleet of hundreds may ask one daemon while others are down.
CONTROL_LIMITS = messages.Limits(head_s=2.0, idle_s=10.0, connections=1024)


class Daemon:
    """The parts of a gateway daemon and their life.

    Attributes:
        path: Path of the settings file, read again on SIGHUP.
        settings: Settings in force.
        gateway: Serves callers.
        changed_at: When the settings file was changed that is in force, in
            nanoseconds.
        shutdown_requested: Set once the daemon was told to end.
        listener: Socket on which callers wait already, or None.
    """

    def __init__(
        self,
        path: str,
        settings: options.Settings,
        changed_at: int = 0,
        listener: socket.socket | None = None,
    ) -> None:
        self.path = path
        self.listener = listener
        self.settings = settings
        registry = plugins.Registry.from_names(settings.plugins)
        create = registry.get("gateway", settings.adapter)
        adapter = create(options.endpoint(settings.store))
        rng = random.Random(random.SystemRandom().getrandbits(64))
        self.gateway = gateways.Gateway(settings, adapter, rng)
        self.kernel = core.Kernel()
        self.ready = server.HttpServer(self._answer_ready, SIDE_LIMITS)
        self.metrics = server.HttpServer(self._answer_metrics, SIDE_LIMITS)
        self.control = server.HttpServer(
            self.gateway.handle_peer, CONTROL_LIMITS
        )
        self.page: Any = None
        self.last_reason = "starting"
        self.changed_at = changed_at
        self.shutdown_requested = asyncio.Event()

    async def run(self) -> int:
        """Runs until it is told to end, then drains.

        Returns:
            Number of calls that were cut.
        """
        for follower in self.gateway.store_view.store_watchers():
            self.kernel.start(follower.object_kind, follower.run)
        self.kernel.start("housekeeping", self.gateway.run_housekeeping)
        self.kernel.start("quarantine", self.gateway.quarantine_sync.run)
        self.kernel.start("settings", self._watch_settings)
        try:
            await self._listen()
        except OSError as error:
            raise exceptions.ConfigError(
                f"An address can't be listened on: {error}."
            ) from error
        events.emit(events.Started(self.settings.callers))
        await self.shutdown_requested.wait()
        events.emit(events.ShuttingDown(len(self.gateway.connections)))
        cut = await self.gateway.drain(self.settings.drain_s)
        await self.kernel.stop()
        await self.gateway.close()
        await self.ready.close()
        await self.metrics.close()
        await self.control.close()
        events.emit(events.Stopped(cut))
        return cut

    def install_signal_handlers(self) -> None:
        """Ends on SIGTERM and SIGINT, and reads the settings on SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.shutdown_requested.set)
        loop.add_signal_handler(signal.SIGINT, self.shutdown_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    async def _listen(self) -> None:
        callers = options.endpoint(self.settings.callers)
        ready = options.endpoint(self.settings.ready)
        await self.ready.start(ready.address, ready.port)
        if self.settings.metrics_port:
            await self.metrics.start(
                callers.address, self.settings.metrics_port
            )
        if self.settings.control:
            control = options.endpoint(self.settings.control)
            await self.control.start(control.address, control.port)
        await self.gateway.start(callers, self.listener)

    def reload(self) -> None:
        """Reads the settings again; a bad file changes nothing."""
        self.changed_at = _changed_at(self.path)
        try:
            fresh = options.load(self.path)
        except exceptions.BanyantillerError as error:
            events.emit(events.SettingsRefused(str(error)))
            return
        self.settings = fresh
        self.gateway.settings = fresh
        events.emit(events.SettingsReloaded())

    async def _answer_ready(
        self, request: messages.Request
    ) -> messages.Response:
        del request
        reason = self.gateway.not_ready()
        if reason != self.last_reason:
            self.last_reason = reason
            events.emit(events.ReadinessChanged(not reason, reason))
        return messages.Response(503 if reason else 200, (), reason.encode())

    async def _answer_metrics(
        self, request: messages.Request
    ) -> messages.Response:
        if request.path != METRICS_PATH:
            return messages.Response(404)
        if self.page is None:
            # Their libraries insist on the one for TLS. Loading takes half a
            # second: not on the thread of the calls.
            tls_imports.allow_tls()
            module = await asyncio.to_thread(
                importlib.import_module, "banyantiller.gateway.metrics"
            )
            self.page = module.Page(self.gateway)
        return messages.Response(
            200, (("content-type", TEXT),), self.page.text()
        )

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_PERIOD_S)
            changed_at = _changed_at(self.path)
            if changed_at != self.changed_at:
                self.reload()


def _changed_at(path: str) -> int:
    """Returns when a file was changed, in nanoseconds; 0 if it is missing."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return 0


def run(argv: list[str], listener: socket.socket | None = None) -> int:
    """Runs a gateway daemon.

    Args:
        argv: Arguments after the program's name: the settings file, or
            nothing if the environment names it.
        listener: Socket on which callers wait already, or None.

    Returns:
        0 after a graceful end, 1 when calls were cut, or the exit code of
        the error that kept the daemon from starting.
    """
    path = argv[0] if argv else os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        sys.stderr.write("usage: python -m banyantiller.gateway SETTINGS\n")
        return exceptions.ConfigError.exit_code
    try:
        return EXIT_CUT if asyncio.run(_main(path, listener)) else 0
    except exceptions.BanyantillerError as error:
        sys.stderr.write(f"gateway: {error}\n")
        return error.exit_code


async def _main(path: str, listener: socket.socket | None) -> int:
    # Before the file is read, so that a change meanwhile is seen.
    changed_at = _changed_at(path)
    settings = options.load(path)
    output = sink.Sink(sys.stdout.fileno())
    logs.configure(settings.log, output, daemon=settings.daemon)
    daemon = Daemon(path, settings, changed_at, listener)
    daemon.install_signal_handlers()
    return await daemon.run()
