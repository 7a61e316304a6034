"""Command line of the daemon, which takes the path of a settings file."""

import argparse
import asyncio
import sys
import time

import structlog

from banyantiller import exceptions, plugins
from banyantiller.config import settings as loading
from banyantiller.daemon import assembly, lifecycle
from banyantiller.proxy import gc_tuning
from banyantiller.telemetry import logs

log = structlog.get_logger("banyantiller.daemon")

EXIT_CALLS_CUT = 1


def run(argv: list[str]) -> int:
    """Runs a daemon until SIGTERM or SIGINT.

    Args:
        argv: Command-line arguments without the program name.

    Returns:
        0 after a graceful shutdown, 1 if calls were cut at the drain limit, or
        the exit code of the error that prevented the start.
    """
    options = _parser().parse_args(argv)
    try:
        return asyncio.run(_main(options.settings))
    except exceptions.BanyantillerError as error:
        sys.stderr.write(f"banyantillerd: {error}\n")
        return error.exit_code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="banyantillerd",
        description="Balances calls over backend servers.",
    )
    parser.add_argument("settings", help="path of the YAML settings file")
    return parser


async def _main(path: str) -> int:
    settings, warnings = loading.load_with_warnings(path)
    logs.configure(
        settings.log, deployment=settings.deployment, daemon=settings.daemon
    )
    for warning in warnings:
        log.warning("daemon: check the settings.", problem=str(warning))
    registry = plugins.Registry.from_entry_points()
    daemon = assembly.Daemon.from_settings(settings, registry, time.time)
    gc_tuning.tune()
    process_lifecycle = lifecycle.Lifecycle(daemon, path)
    cut = await process_lifecycle.run()
    return EXIT_CALLS_CUT if cut else 0
