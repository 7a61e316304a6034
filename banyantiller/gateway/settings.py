"""Settings of the gateway, with their defaults."""

from collections.abc import Iterator
from typing import Annotated, NamedTuple

from banyantiller.config import checks, documents, loading
from banyantiller.config.defaults import Endpoint, LogSettings
from banyantiller.config.options import Option


class Settings(NamedTuple):
    """Settings of one gateway daemon."""

    daemon: Annotated[str, Option("Name of this daemon.")]
    zone: Annotated[str, Option("Availability zone of this daemon.")]
    callers: Annotated[str, Option("IP address and port for callers.")]
    ready: Annotated[str, Option("IP address and port of readiness.")]
    store: Annotated[str, Option("IP address and port of the store.")]
    control: Annotated[
        str, Option("IP address and port for peers; empty for none.")
    ] = ""
    server_source: Annotated[
        str,
        Option(
            "IP address from which connections to servers are opened; empty"
            " for the system's choice."
        ),
    ] = ""
    seeds: Annotated[
        tuple[str, ...],
        Option("IP addresses and ports of the relays.", most=16),
    ] = ()
    apply_s: Annotated[
        float,
        Option(
            "Time from the store's response until a document is in force.",
            unit="s",
            low=1,
        ),
    ] = 2.0
    leave_s: Annotated[
        float,
        Option(
            "Time for which a leaving server may still get requests.",
            unit="s",
            low=1,
        ),
    ] = 2.0
    recovery_s: Annotated[
        float,
        Option(
            "Time after a disruption of the store from which changes are in"
            " force in time again.",
            unit="s",
            low=1.5,
        ),
    ] = 3.0
    drain_s: Annotated[
        float,
        Option(
            "Time from a shutdown request until the process is killed.",
            unit="s",
            low=0.5,
        ),
    ] = 6.0
    retry_ratio: Annotated[
        float,
        Option("Retries per request, over the fleet.", low=0, high=1),
    ] = 0.2
    retry_extra: Annotated[
        float,
        Option("Additional retries in a window, over the fleet.", low=0),
    ] = 0.0
    retry_window_s: Annotated[
        float, Option("Window of the retry budget.", unit="s", low=0.1)
    ] = 10.0
    cold_tolerance: Annotated[
        float,
        Option(
            "Factor on the request rate that a cold server states it can take.",
            low=0.1,
        ),
    ] = 1.0
    allowance_window_s: Annotated[
        float,
        Option(
            "Window in which the requests of an organisation are counted.",
            unit="s",
            low=1,
        ),
    ] = 5.0
    allowance_slack: Annotated[
        float,
        Option(
            "Requests in a window by which an allowance may be exceeded; half"
            " of them extend bursts, and as many are for relays that start.",
            low=0,
        ),
    ] = 0.0
    load_sharing: Annotated[
        str,
        Option(
            "Whether daemons share what they know of the load and decide by it"
            " who is served first: auto follows the document.",
            choices=("auto", "on", "off"),
        ),
    ] = "auto"
    link_mbps: Annotated[
        float,
        Option(
            "Rate of this machine's link in Mbit/s; 0 if it is no limit.",
            low=0,
        ),
    ] = 0.0
    quarantine_s: Annotated[
        float,
        Option(
            "Time for which a request that crashed servers is rejected.",
            unit="s",
            low=1,
        ),
    ] = 300.0
    plugins: Annotated[
        tuple[str, ...], Option("Plug-ins to load, as MODULE:FUNCTION.")
    ] = ("banyantiller.platform.plugin:register",)
    adapter: Annotated[str, Option("Plug-in that connects to the store.")] = (
        "objects"
    )
    metrics_port: Annotated[
        int, Option("Port of the metrics page; 0 for none.", low=0, high=65535)
    ] = 9464
    log: Annotated[LogSettings, Option("Logs.")] = LogSettings()


# Settings that apply from the next start only: addresses, names and what is
# fixed in the components that they are given to.
START_SETTINGS = frozenset(
    {
        "daemon",
        "zone",
        "callers",
        "ready",
        "store",
        "control",
        "server_source",
        "apply_s",
        "leave_s",
        "recovery_s",
        "plugins",
        "adapter",
        "metrics_port",
        "log",
    }
)


def changed_start_settings(before: Settings, after: Settings) -> list[str]:
    """Returns the names of changed settings that need a restart."""
    return [
        name
        for name in Settings._fields
        if name in START_SETTINGS
        and getattr(before, name) != getattr(after, name)
    ]


def load(path: str) -> Settings:
    """Loads and validates the settings of a gateway daemon.

    Raises:
        ConfigError: The settings are invalid; it lists every error.
    """
    settings, problems = loading.load(documents.read_file(path), path, Settings)
    if settings is not None:
        for name, text in _endpoints(settings):
            try:
                parse_endpoint(text)
            except ValueError as error:
                problems.error(name, f"{error}.")
        source = settings.server_source
        error = checks.ip_address(source) if source else ""
        if error:
            problems.error("server_source", f"'{source}' {error}.")
    problems.raise_errors()
    return settings


def _endpoints(settings: Settings) -> Iterator[tuple[str, str]]:
    for name in ("callers", "ready", "store"):
        yield name, getattr(settings, name)
    if settings.control:
        yield "control", settings.control
    for index, text in enumerate(settings.seeds):
        yield f"seeds[{index}]", text


def parse_endpoint(text: str) -> Endpoint:
    """Parses an endpoint of the form HOST:PORT.

    Raises:
        ValueError: The text has another form.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"'{text}' is not HOST:PORT")
    return Endpoint(host, int(port))
