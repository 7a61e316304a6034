"""The gateway as a program: start, reload and graceful shutdown."""

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
EXIT_CALLS_CUT = 1
METRICS_PATH = "/metrics"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Time to write the responses of forwarded calls, which ends the drain.
RESPONSE_GRACE_S = 0.2
# Interval at which the settings file is checked for changes without a SIGHUP.
SETTINGS_PERIOD_S = 1.0
STATUS_LIMITS = messages.Limits(head_s=2.0, idle_s=10.0, connections=64)
# Hundreds of peers may query one daemon while others are down.
PEER_LIMITS = messages.Limits(head_s=2.0, idle_s=10.0, connections=1024)


class Daemon:
    """A gateway daemon: starts, reloads and stops its components.

    Attributes:
        path: Path of the settings file, read again on SIGHUP.
        settings: Settings in force.
        gateway: Serves callers.
        settings_mtime_ns: Modification time of the settings file that was read
            last, in nanoseconds.
        shutdown_requested: Set by SIGTERM and SIGINT.
        listener: Socket that listens for callers already, or None.
    """

    def __init__(
        self,
        path: str,
        settings: options.Settings,
        settings_mtime_ns: int = 0,
        listener: socket.socket | None = None,
    ) -> None:
        self.path = path
        self.listener = listener
        self.settings = settings
        registry = plugins.Registry.from_names(settings.plugins)
        create = registry.get("gateway", settings.adapter)
        adapter = create(options.parse_endpoint(settings.store))
        rng = random.Random(random.SystemRandom().getrandbits(64))
        self.gateway = gateways.Gateway(settings, adapter, rng)
        self.kernel = core.Kernel()
        self.ready = server.HttpServer(self._answer_ready, STATUS_LIMITS)
        self.metrics = server.HttpServer(self._answer_metrics, STATUS_LIMITS)
        self.control = server.HttpServer(self.gateway.handle_peer, PEER_LIMITS)
        self.metrics_page: Any = None
        self.last_not_ready_reason = "starting"
        self.settings_mtime_ns = settings_mtime_ns
        self.shutdown_requested = asyncio.Event()

    async def run(self) -> int:
        """Runs until a shutdown is requested, then drains.

        Returns:
            Number of calls that were cut.
        """
        for watcher in self.gateway.store_view.store_watchers():
            self.kernel.start(watcher.object_kind, watcher.run)
        self.kernel.start("housekeeping", self.gateway.run_housekeeping)
        self.kernel.start("quarantine", self.gateway.quarantine_sync.run)
        self.kernel.start("relays", self.gateway.relay_succession.run)
        self.kernel.start("settings", self._watch_settings)
        try:
            await self._listen()
        except OSError as error:
            raise exceptions.ConfigError(
                f"Cannot listen on an address: {error}."
            ) from error
        events.emit(events.Started(self.settings.callers))
        await self.shutdown_requested.wait()
        events.emit(events.ShuttingDown(len(self.gateway.connections)))
        cut = await self.gateway.drain(self.settings.drain_s)
        await self.kernel.stop()
        await self.gateway.close()
        await self.ready.close()
        await self.metrics.close()
        await self.control.close(RESPONSE_GRACE_S)
        events.emit(events.Stopped(cut))
        return cut

    def install_signal_handlers(self) -> None:
        """Shuts down on SIGTERM and SIGINT; reloads settings on SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.shutdown_requested.set)
        loop.add_signal_handler(signal.SIGINT, self.shutdown_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    async def _listen(self) -> None:
        callers = options.parse_endpoint(self.settings.callers)
        ready = options.parse_endpoint(self.settings.ready)
        await self.ready.start(ready.address, ready.port)
        if self.settings.metrics_port:
            await self.metrics.start(
                callers.address, self.settings.metrics_port
            )
        if self.settings.control:
            control = options.parse_endpoint(self.settings.control)
            await self.control.start(control.address, control.port)
        await self.gateway.start(callers, self.listener)

    def reload(self) -> None:
        """Reloads the settings; an invalid file changes nothing."""
        self.settings_mtime_ns = _mtime_ns(self.path)
        try:
            loaded = options.load(self.path)
        except exceptions.BanyantillerError as error:
            events.emit(events.SettingsReloadFailed(str(error)))
            return
        self.settings = loaded
        self.gateway.reload(loaded)
        events.emit(events.SettingsReloaded())

    async def _answer_ready(
        self, request: messages.Request
    ) -> messages.Response:
        del request
        reason = self.gateway.not_ready_reason()
        if reason != self.last_not_ready_reason:
            self.last_not_ready_reason = reason
            events.emit(events.ReadinessChanged(not reason, reason))
        return messages.Response(503 if reason else 200, (), reason.encode())

    async def _answer_metrics(
        self, request: messages.Request
    ) -> messages.Response:
        if request.path != METRICS_PATH:
            return messages.Response(404)
        if self.metrics_page is None:
            # The metrics libraries need the TLS library. Loading them takes
            # 0.5 s, so it is done outside the event loop's thread.
            tls_imports.allow_tls()
            module = await asyncio.to_thread(
                importlib.import_module, "banyantiller.gateway.metrics"
            )
            self.metrics_page = module.MetricsPage(self.gateway)
        return messages.Response(
            200,
            (("content-type", METRICS_CONTENT_TYPE),),
            self.metrics_page.text(),
        )

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_PERIOD_S)
            settings_mtime_ns = _mtime_ns(self.path)
            if settings_mtime_ns != self.settings_mtime_ns:
                self.reload()


def _mtime_ns(path: str) -> int:
    """Returns a file's modification time in nanoseconds; 0 if missing."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return 0


def run(argv: list[str], listener: socket.socket | None = None) -> int:
    """Runs a gateway daemon.

    Args:
        argv: Arguments after the program's name: the settings file, or
            nothing if the environment names it.
        listener: Socket that listens for callers already, or None.

    Returns:
        0 after a graceful shutdown, 1 if calls were cut, or the exit code of
        the error that prevented the start.
    """
    path = argv[0] if argv else os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        sys.stderr.write("usage: python -m banyantiller.gateway SETTINGS\n")
        return exceptions.ConfigError.exit_code
    try:
        return EXIT_CALLS_CUT if asyncio.run(_main(path, listener)) else 0
    except exceptions.BanyantillerError as error:
        sys.stderr.write(f"gateway: {error}\n")
        return error.exit_code


async def _main(path: str, listener: socket.socket | None) -> int:
    # Taken before the file is read, to notice a change during the read.
    settings_mtime_ns = _mtime_ns(path)
    settings = options.load(path)
    output = sink.Sink(sys.stdout.fileno())
    logs.configure(settings.log, output, daemon=settings.daemon)
    daemon = Daemon(path, settings, settings_mtime_ns, listener)
    daemon.install_signal_handlers()
    return await daemon.run()
