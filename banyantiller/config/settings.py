"""Loads the settings of a daemon or of an operator from a file."""

import os
from typing import Any

from banyantiller.config import documents, loading
from banyantiller.config.defaults import (
    Endpoint,
    OperatorSettings,
    Settings,
    TlsFiles,
    TrustedKey,
)
from banyantiller.config.problems import Problem, Problems

MIN_SECRET_CHARS = 16


def load(path: str) -> Settings:
    """Loads and checks the settings of a daemon.

    Args:
        path: YAML file.

    Returns:
        The settings, with defaults for options that the file omits.

    Raises:
        ConfigError: The file has errors; it lists all of them.
    """
    settings, _ = load_with_warnings(path)
    return settings


def load_with_warnings(path: str) -> tuple[Settings, tuple[Problem, ...]]:
    """Loads the settings of a daemon; returns them with the warnings.

    Raises:
        ConfigError: The file has errors; it lists all of them.
    """
    return parse(documents.read_file(path), path)


def parse(text: str, path: str) -> tuple[Settings, tuple[Problem, ...]]:
    """Parses the settings of a daemon; see `load_with_warnings`."""
    settings, problems = loading.load(text, path, Settings)
    if settings is not None:
        _check(settings, problems)
    problems.raise_errors()
    return settings, problems.warnings()


def load_operator(path: str) -> OperatorSettings:
    """Loads and checks the settings of an operator.

    Raises:
        ConfigError: The file has errors; it lists all of them.
    """
    settings, _ = parse_operator(documents.read_file(path), path)
    return settings


def parse_operator(
    text: str, path: str
) -> tuple[OperatorSettings, tuple[Problem, ...]]:
    """Parses the settings of an operator; returns them with the warnings.

    Raises:
        ConfigError: The file has errors; it lists all of them.
    """
    settings, problems = loading.load(text, path, OperatorSettings)
    if settings is not None:
        check_keys(settings.trusted_keys, problems)
        tls = settings.object_api.tls
        _check_tls(tls, "object_api.tls", False, problems)
        _check_key_file(settings.key_file, problems)
    problems.raise_errors()
    return settings, problems.warnings()


def _check_key_file(path: str, problems: Problems) -> None:
    if path and not os.path.isfile(path):
        problems.error("key_file", f"There is no file '{path}'.")


def _check(settings: Settings, problems: Problems) -> None:
    _check_endpoints(settings, problems)
    _check_peers(settings, problems)
    _check_times(settings, problems)
    check_keys(settings.trusted_keys, problems)
    _check_tls(settings.callers.tls, "callers.tls", True, problems)
    _check_tls(settings.peers.tls, "peers.tls", True, problems)
    _check_tls(settings.backends.tls, "backends.tls", False, problems)
    _check_tls(settings.object_api.tls, "object_api.tls", False, problems)


def _check_endpoints(settings: Settings, problems: Problems) -> None:
    listening = {
        "callers.listen": settings.callers.listen,
        "peers.listen": settings.peers.listen,
        "admin": settings.admin,
    }
    seen: dict[Endpoint, str] = {}
    for path, endpoint in listening.items():
        if endpoint in seen and endpoint.port:
            problems.error(
                path, f"{seen[endpoint]} listens on the same address and port."
            )
        seen.setdefault(endpoint, path)
    contacted = {"object_api.endpoint": settings.object_api.endpoint}
    if settings.vm_list is not None:
        contacted["vm_list.endpoint"] = settings.vm_list.endpoint
    for index, seed in enumerate(settings.peers.seeds):
        contacted[f"peers.seeds[{index}]"] = seed
    for path, endpoint in contacted.items():
        if endpoint is not None and endpoint.port == 0:
            problems.error(f"{path}.port", "Port 0 cannot be connected to.")


def _check_peers(settings: Settings, problems: Problems) -> None:
    peers = settings.peers
    if peers.tls is None and not peers.secret:
        message = "Peers need 'tls' or a 'secret' to authenticate each other."
        problems.error("peers", message)
    if peers.tls is not None and not peers.tls.trust:
        message = "Peers verify each other, so 'trust' is required here."
        problems.error("peers.tls", message)
    if peers.secret and len(peers.secret) < MIN_SECRET_CHARS:
        message = f"It is shorter than {MIN_SECRET_CHARS} characters."
        problems.warn("peers.secret", message)
    if peers.suspect_s <= peers.heartbeat_s:
        message = f"It must be above heartbeat_s, {peers.heartbeat_s:g} s."
        problems.error("peers.suspect_s", message)


def _check_times(settings: Settings, problems: Problems) -> None:
    if settings.backends.proven_s > settings.backends.idle_timeout_s:
        message = "It is above backends.idle_timeout_s, so it has no effect."
        problems.warn("backends.proven_s", message)
    if settings.object_api.poll_s < settings.object_api.timeout_s:
        message = "It must not be below object_api.timeout_s."
        problems.error("object_api.poll_s", message)
    if settings.outage.isolated_after_s <= settings.peers.suspect_s:
        message = "It must be above peers.suspect_s."
        problems.error("outage.isolated_after_s", message)


def check_keys(keys: tuple[TrustedKey, ...], problems: Problems) -> None:
    """Checks that one operator can propose and another can sign."""
    present = [key for key in keys if key is not None]
    seen: dict[str, str] = {}
    for index, key in enumerate(keys):
        if key is None:
            continue
        other = seen.setdefault(key.public_key, key.name)
        path = f"trusted_keys[{index}]"
        if other != key.name:
            message = f"'{other}' has the same public key."
            problems.error(f"{path}.public_key", message)
        if not key.roles:
            problems.error(f"{path}.roles", "The key has no role.")
    pairs = [
        (one.name, two.name)
        for one in present
        for two in present
        if "propose" in one.roles
        and "sign" in two.roles
        and one.name != two.name
    ]
    if not pairs and len(present) == len(keys):
        message = "No bundle can be accepted: one operator has to propose and"
        problems.warn("trusted_keys", f"{message} another one has to sign.")


def _check_tls(
    files: TlsFiles | None, path: str, serves: bool, problems: Problems
) -> None:
    if files is None:
        return
    if bool(files.certificate) != bool(files.key):
        problems.error(path, "'certificate' and 'key' are required together.")
    elif serves and not files.certificate:
        problems.error(path, "'certificate' and 'key' are required here.")
    named: dict[str, Any] = files._asdict()
    for name in ("certificate", "key", "trust"):
        if named[name] and not os.path.isfile(named[name]):
            message = f"There is no file '{named[name]}'."
            problems.error(f"{path}.{name}", message)
