"""What a running daemon takes over from a changed settings file.

Addresses, names and the object API need a new process. Everything that is
taken over concerns later calls only, so no running call is touched.
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
    """Takes over what may change and names what needs a new process.

    Args:
        daemon: The running daemon.
        new_settings: The settings file as it is now, already validated.
    """
    changed = changed_fields(daemon.settings, new_settings)
    taken = [name for name in changed if name in RELOADABLE]
    refused = [name for name in changed if name not in RELOADABLE]
    daemon.settings = daemon.settings._replace(
        **{name: getattr(new_settings, name) for name in taken}
    )
    daemon.replicator.replica.trusted_keys = daemon.settings.trusted_keys
    logs.configure(
        daemon.settings.log,
        deployment=daemon.settings.deployment,
        daemon=daemon.settings.daemon,
    )
    log.info("daemon: settings reloaded.", taken=taken)
    if refused:
        log.warning("daemon: some settings need a restart.", fields=refused)
