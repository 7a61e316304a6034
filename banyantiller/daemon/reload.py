"""Applies a changed settings file to a running daemon.

A change of addresses, names or the object API needs a restart. The reloadable
settings affect later calls only, so running calls are not disturbed.
"""

from typing import TYPE_CHECKING

import structlog

from banyantiller.config import defaults
from banyantiller.telemetry import logs

if TYPE_CHECKING:
    from banyantiller.daemon import assembly

log = structlog.get_logger("banyantiller.daemon")

RELOADABLE = ("log", "drain", "outage", "trusted_keys")


def changed_fields(
    old: defaults.Settings, new: defaults.Settings
) -> tuple[str, ...]:
    """Returns the names of the settings that differ."""
    return tuple(
        name
        for name in defaults.Settings._fields
        if getattr(old, name) != getattr(new, name)
    )


def apply(daemon: "assembly.Daemon", new_settings: defaults.Settings) -> None:
    """Applies reloadable changes and logs those that need a restart.

    Args:
        daemon: The running daemon.
        new_settings: Validated settings of the changed file.
    """
    changed = changed_fields(daemon.settings, new_settings)
    applied = [name for name in changed if name in RELOADABLE]
    not_applied = [name for name in changed if name not in RELOADABLE]
    daemon.settings = daemon.settings._replace(
        **{name: getattr(new_settings, name) for name in applied}
    )
    daemon.replicator.replica.trusted_keys = daemon.settings.trusted_keys
    logs.configure(
        daemon.settings.log,
        deployment=daemon.settings.deployment,
        daemon=daemon.settings.daemon,
    )
    log.info("daemon: settings reloaded.", taken=applied)
    if not_applied:
        log.warning("daemon: some settings need a restart.", fields=not_applied)
