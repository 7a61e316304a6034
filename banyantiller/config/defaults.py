"""Every setting of the daemon, declared once with its default.

Fields without a default are required in the settings file.
"""

from typing import Annotated, NamedTuple

from banyantiller.config.options import Option

NAME_PATTERN = r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?"

Name = Annotated[
    str,
    Option("Lower-case letters, digits, '-' and '.'.", pattern=NAME_PATTERN),
]


class Endpoint(NamedTuple):
    """An IP address and a port."""

    address: Annotated[str, Option("IP address.", check="ip_address")]
    port: Annotated[
        int, Option("Port; 0 lets the system choose.", low=0, high=65535)
    ]


class TlsFiles(NamedTuple):
    """TLS files of one side of a connection."""

    certificate: Annotated[
        str, Option("Path of the PEM certificate chain.")
    ] = ""
    key: Annotated[str, Option("Path of the PEM private key.")] = ""
    trust: Annotated[
        str,
        Option(
            "Path of the trusted PEM certificates. If empty, those of the"
            " system are trusted, and callers need no certificate."
        ),
    ] = ""
    server_name: Annotated[
        str,
        Option(
            "Expected name in the certificate of the other side. If empty, its"
            " IP address is expected; between daemons the name is not checked."
        ),
    ] = ""


class TrustedKey(NamedTuple):
    """A key whose holder may propose or sign bundles."""

    name: Annotated[
        str, Option("Operator that holds the key.", pattern=NAME_PATTERN)
    ]
    public_key: Annotated[
        str,
        Option("Ed25519 public key as 64 hex digits.", pattern=r"[0-9a-f]{64}"),
    ]
    roles: Annotated[
        tuple[str, ...],
        Option("Roles of the key.", choices=("propose", "sign")),
    ] = ("propose", "sign")
    not_after: Annotated[
        str,
        Option(
            "Last UTC date on which the key may sign, or empty.",
            check="date",
        ),
    ] = ""


class ObjectApiSettings(NamedTuple):
    """Access to the platform's object API."""

    endpoint: Annotated[Endpoint, Option("Address of the object API.")]
    adapter: Annotated[str, Option("Name of the plug-in.")] = "kubernetes"
    group: Annotated[str, Option("API group of the object kinds.")] = (
        "banyantiller.example"
    )
    timeout_s: Annotated[
        float,
        Option("Timeout of a request.", unit="s", low=0.05, high=60),
    ] = 2.0
    bookmark_s: Annotated[
        float,
        Option("Timeout of a watch without events.", unit="s", low=0.2),
    ] = 3.0
    poll_s: Annotated[
        float,
        Option(
            "Period of reads by daemons that do not watch.", unit="s", low=0.5
        ),
    ] = 10.0
    watchers: Annotated[
        int, Option("Number of daemons that watch it.", low=1, high=64)
    ] = 3
    tls: Annotated[TlsFiles | None, Option("TLS towards the object API.")] = (
        None
    )


class VmListSettings(NamedTuple):
    """Access to the platform's VM list."""

    endpoint: Annotated[Endpoint, Option("Address of the VM list.")]
    adapter: Annotated[str, Option("Name of the plug-in.")] = "http"
    period_s: Annotated[
        float, Option("Period of reads.", unit="s", low=0.2, high=300)
    ] = 1.0


class PeerSettings(NamedTuple):
    """Connections between daemons."""

    listen: Annotated[
        Endpoint, Option("Address on which this daemon listens for peers.")
    ]
    seeds: Annotated[
        tuple[Endpoint, ...], Option("Peers to contact first.", most=64)
    ] = ()
    secret: Annotated[
        str,
        Option("Shared secret that authenticates peers when TLS is not set."),
    ] = ""
    links: Annotated[
        int, Option("Maximum outgoing links to peers.", low=1, high=16)
    ] = 4
    heartbeat_s: Annotated[
        float,
        Option("Period of heartbeats on a link.", unit="s", low=0.05, high=30),
    ] = 0.5
    suspect_s: Annotated[
        float,
        Option(
            "Time without messages until a peer is suspected.",
            unit="s",
            low=0.1,
        ),
    ] = 2.0
    tls: Annotated[
        TlsFiles | None, Option("TLS between daemons, both sides verified.")
    ] = None


class CallerSettings(NamedTuple):
    """Connections of callers."""

    listen: Annotated[
        Endpoint, Option("Address on which this daemon listens for callers.")
    ]
    head_timeout_s: Annotated[
        float,
        Option("Timeout of reading a request head.", unit="s", low=0.05),
    ] = 10.0
    body_timeout_s: Annotated[
        float,
        Option("Timeout of one read of a request body.", unit="s", low=0.05),
    ] = 10.0
    idle_timeout_s: Annotated[
        float, Option("Idle timeout of a connection.", unit="s", low=0.05)
    ] = 60.0
    write_timeout_s: Annotated[
        float,
        Option(
            "Maximum stall of a caller that reads a response.",
            unit="s",
            low=0.05,
        ),
    ] = 30.0
    max_head_bytes: Annotated[
        int,
        Option(
            "Maximum size of a request head.",
            unit="bytes",
            low=1024,
            high=1 << 20,
        ),
    ] = 32768
    max_body_bytes: Annotated[
        int, Option("Maximum size of a request body.", unit="bytes", low=1)
    ] = 1 << 30
    replay_bytes: Annotated[
        int,
        Option(
            "Maximum size of a request body kept for a retry.",
            unit="bytes",
            low=0,
        ),
    ] = 65536
    max_connections: Annotated[
        int, Option("Maximum open connections of callers.", low=1)
    ] = 4096
    tls: Annotated[TlsFiles | None, Option("TLS towards callers.")] = None


class BackendSettings(NamedTuple):
    """Connections to backend servers."""

    connect_timeout_s: Annotated[
        float, Option("Timeout of connecting.", unit="s", low=0.01)
    ] = 0.2
    idle_timeout_s: Annotated[
        float,
        Option("Idle timeout of a pooled connection.", unit="s", low=0.1),
    ] = 30.0
    proven_s: Annotated[
        float,
        Option(
            "A non-idempotent request reuses only a connection with a response"
            " within this time.",
            unit="s",
            low=0,
        ),
    ] = 1.0
    silence_s: Annotated[
        float,
        Option("Timeout of one read of a response body.", unit="s", low=0.05),
    ] = 30.0
    max_head_bytes: Annotated[
        int,
        Option(
            "Maximum size of a response head.",
            unit="bytes",
            low=1024,
            high=1 << 20,
        ),
    ] = 65536
    tls: Annotated[TlsFiles | None, Option("TLS towards backend servers.")] = (
        None
    )


class DrainSettings(NamedTuple):
    """Graceful shutdown of this daemon."""

    grace_s: Annotated[
        float,
        Option(
            "Time from losing readiness until listeners close.", unit="s", low=0
        ),
    ] = 5.0
    limit_s: Annotated[
        float, Option("Maximum wait for calls in flight.", unit="s", low=0)
    ] = 60.0


class OutageSettings(NamedTuple):
    """Behaviour of a daemon that reaches neither the object API nor peers."""

    when_isolated: Annotated[
        str,
        Option(
            "'fence' rejects calls as not run; 'serve' continues with the"
            " bundle in force.",
            choices=("fence", "serve"),
        ),
    ] = "serve"
    isolated_after_s: Annotated[
        float,
        Option(
            "Time without store and peers that counts as isolated.",
            unit="s",
            low=1,
        ),
    ] = 10.0


class LogSettings(NamedTuple):
    """Logs of the daemon."""

    level: Annotated[
        str,
        Option("Minimum level.", choices=("debug", "info", "warning", "error")),
    ] = "info"
    format: Annotated[
        str, Option("Format of a line.", choices=("json", "text"))
    ] = "json"
    access: Annotated[bool, Option("Whether each call is logged.")] = False


class EvidenceSettings(NamedTuple):
    """Summaries of which promises held, written to the object API."""

    period_s: Annotated[
        float, Option("Period of summaries.", unit="s", low=1, high=3600)
    ] = 30.0
    most_requests: Annotated[
        int, Option("Maximum requests listed in a summary.", low=1, high=1000)
    ] = 50
    retention_days: Annotated[
        int,
        Option("Time for which summaries are kept.", unit="d", low=1, high=800),
    ] = 30


class Settings(NamedTuple):
    """Settings of one daemon."""

    deployment: Annotated[
        str,
        Option(
            "Name shared by all daemons of one fleet.", pattern=NAME_PATTERN
        ),
    ]
    daemon: Annotated[str, Option("Name of this daemon.", pattern=NAME_PATTERN)]
    zone: Annotated[
        str, Option("Availability zone of this VM.", pattern=NAME_PATTERN)
    ]
    callers: Annotated[CallerSettings, Option("Callers.")]
    admin: Annotated[
        Endpoint, Option("Address that serves health, readiness and metrics.")
    ]
    peers: Annotated[PeerSettings, Option("Other daemons.")]
    object_api: Annotated[
        ObjectApiSettings, Option("The platform's object API.")
    ]
    vm_list: Annotated[
        VmListSettings | None, Option("The platform's VM list.")
    ] = None
    trusted_keys: Annotated[
        tuple[TrustedKey, ...], Option("Keys of operators.", most=64)
    ] = ()
    region: Annotated[str, Option("Region of this VM.")] = ""
    backends: Annotated[BackendSettings, Option("Backend servers.")] = (
        BackendSettings()
    )
    drain: Annotated[DrainSettings, Option("Graceful shutdown.")] = (
        DrainSettings()
    )
    outage: Annotated[OutageSettings, Option("Isolation.")] = OutageSettings()
    log: Annotated[LogSettings, Option("Logs.")] = LogSettings()
    evidence: Annotated[EvidenceSettings, Option("Evidence.")] = (
        EvidenceSettings()
    )
    quarantine_s: Annotated[
        float,
        Option(
            "Time for which a request that crashes servers is refused.",
            unit="s",
            low=1,
        ),
    ] = 300.0
    routing: Annotated[str, Option("Name of the routing plug-in.")] = "adaptive"
    load_reader: Annotated[
        str, Option("Name of the plug-in that reads servers' load reports.")
    ] = "orca"
    trace_file: Annotated[
        str, Option("File that records a trace for replay, or empty.")
    ] = ""


class OperatorSettings(NamedTuple):
    """Settings of the command-line tool for one operator."""

    deployment: Annotated[
        str,
        Option(
            "Name shared by all daemons of the fleet.", pattern=NAME_PATTERN
        ),
    ]
    operator: Annotated[
        str,
        Option("Name of the operator in trusted_keys.", pattern=NAME_PATTERN),
    ]
    object_api: Annotated[
        ObjectApiSettings, Option("The platform's object API.")
    ]
    key_file: Annotated[
        str,
        Option("Path of the operator's private key; required for changes."),
    ] = ""
    trusted_keys: Annotated[
        tuple[TrustedKey, ...], Option("Keys of operators.", most=64)
    ] = ()
