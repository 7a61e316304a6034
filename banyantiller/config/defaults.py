"""Every setting of the daemon, declared once with its default.

Fields without a default must be given in the settings file.
"""

from typing import Annotated, NamedTuple

from banyantiller.config.options import Option

NAME_PATTERN = r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?"

Name = Annotated[
    str,
    Option("Lower-case letters, digits, '-' and '.'.", pattern=NAME_PATTERN),
]


class Endpoint(NamedTuple):
    """An IP number and a port."""

    address: Annotated[str, Option("IP number.", check="ip_address")]
    port: Annotated[
        int, Option("Port; 0 lets the system choose.", low=0, high=65535)
    ]


class TlsFiles(NamedTuple):
    """Files for TLS on one side."""

    certificate: Annotated[
        str, Option("Path of the PEM certificate chain.")
    ] = ""
    key: Annotated[str, Option("Path of the PEM private key.")] = ""
    trust: Annotated[
        str,
        Option(
            "Path of the PEM certificates to trust. If empty, the system's are"
            " trusted, and callers need no certificate."
        ),
    ] = ""
    server_name: Annotated[
        str,
        Option(
            "Name expected in the other side's certificate. If empty, its IP"
            " number is expected; between daemons no name is."
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
        Option("What the key may do.", choices=("propose", "sign")),
    ] = ("propose", "sign")
    not_after: Annotated[
        str,
        Option(
            "UTC date after which the key signs nothing new, or empty.",
            check="date",
        ),
    ] = ""


class ObjectApiSettings(NamedTuple):
    """How the platform's object API is reached."""

    endpoint: Annotated[Endpoint, Option("Where the object API listens.")]
    adapter: Annotated[str, Option("Name of the plug-in.")] = "kubernetes"
    group: Annotated[str, Option("API group of the product's kinds.")] = (
        "banyantiller.example"
    )
    timeout_s: Annotated[
        float,
        Option("Longest wait for one answer.", unit="s", low=0.05, high=60),
    ] = 2.0
    bookmark_s: Annotated[
        float,
        Option("A watch silent for longer is opened anew.", unit="s", low=0.2),
    ] = 3.0
    poll_s: Annotated[
        float,
        Option(
            "Period of reads by daemons that do not watch.", unit="s", low=0.5
        ),
    ] = 10.0
    watchers: Annotated[
        int, Option("Daemons that watch the object API.", low=1, high=64)
    ] = 3
    tls: Annotated[TlsFiles | None, Option("TLS towards the object API.")] = (
        None
    )


class VmListSettings(NamedTuple):
    """How the platform's VM list is reached."""

    endpoint: Annotated[Endpoint, Option("Where the VM list listens.")]
    adapter: Annotated[str, Option("Name of the plug-in.")] = "http"
    period_s: Annotated[
        float, Option("Period of reads.", unit="s", low=0.2, high=300)
    ] = 1.0


class PeerSettings(NamedTuple):
    """How daemons reach each other."""

    listen: Annotated[Endpoint, Option("Where this daemon listens for peers.")]
    seeds: Annotated[
        tuple[Endpoint, ...], Option("Peers to contact first.", most=64)
    ] = ()
    secret: Annotated[
        str,
        Option("Shared secret that authenticates peers when TLS is not set."),
    ] = ""
    links: Annotated[
        int, Option("Most outgoing links to other daemons.", low=1, high=16)
    ] = 4
    heartbeat_s: Annotated[
        float,
        Option("Period of heartbeats on a link.", unit="s", low=0.05, high=30),
    ] = 0.5
    suspect_s: Annotated[
        float,
        Option("Silence after which a peer is suspected.", unit="s", low=0.1),
    ] = 2.0
    tls: Annotated[
        TlsFiles | None, Option("TLS between daemons, both sides verified.")
    ] = None


class CallerSettings(NamedTuple):
    """How callers are served."""

    listen: Annotated[
        Endpoint, Option("Where this daemon listens for callers.")
    ]
    head_timeout_s: Annotated[
        float,
        Option("Longest wait for a whole request head.", unit="s", low=0.05),
    ] = 10.0
    body_timeout_s: Annotated[
        float,
        Option("Longest silence within a request body.", unit="s", low=0.05),
    ] = 10.0
    idle_timeout_s: Annotated[
        float, Option("Longest idle time of a connection.", unit="s", low=0.05)
    ] = 60.0
    write_timeout_s: Annotated[
        float,
        Option(
            "Longest stall of a caller reading an answer.", unit="s", low=0.05
        ),
    ] = 30.0
    max_head_bytes: Annotated[
        int,
        Option("Largest request head.", unit="bytes", low=1024, high=1 << 20),
    ] = 32768
    max_body_bytes: Annotated[
        int, Option("Largest request body.", unit="bytes", low=1)
    ] = 1 << 30
    replay_bytes: Annotated[
        int,
        Option(
            "Largest request body kept for another try.", unit="bytes", low=0
        ),
    ] = 65536
    max_connections: Annotated[
        int, Option("Most open caller connections.", low=1)
    ] = 4096
    tls: Annotated[TlsFiles | None, Option("TLS towards callers.")] = None


class BackendSettings(NamedTuple):
    """How backend servers are reached."""

    connect_timeout_s: Annotated[
        float, Option("Longest wait for a connection.", unit="s", low=0.01)
    ] = 0.2
    idle_timeout_s: Annotated[
        float,
        Option("Longest idle time of a pooled connection.", unit="s", low=0.1),
    ] = 30.0
    proven_s: Annotated[
        float,
        Option(
            "A non-idempotent request reuses only a connection that answered"
            " within this time.",
            unit="s",
            low=0,
        ),
    ] = 1.0
    silence_s: Annotated[
        float,
        Option("Longest silence within an answer body.", unit="s", low=0.05),
    ] = 30.0
    max_head_bytes: Annotated[
        int,
        Option("Largest answer head.", unit="bytes", low=1024, high=1 << 20),
    ] = 65536
    tls: Annotated[TlsFiles | None, Option("TLS towards backend servers.")] = (
        None
    )


class DrainSettings(NamedTuple):
    """Graceful shutdown of this daemon."""

    grace_s: Annotated[
        float,
        Option(
            "Time that listeners go on after readiness falls.", unit="s", low=0
        ),
    ] = 5.0
    limit_s: Annotated[
        float, Option("Longest wait for calls in flight.", unit="s", low=0)
    ] = 60.0


class OutageSettings(NamedTuple):
    """What a daemon does without the object API and without peers."""

    when_isolated: Annotated[
        str,
        Option(
            "'fence' refuses calls as not run; 'serve' goes on with the bundle"
            " in force.",
            choices=("fence", "serve"),
        ),
    ] = "serve"
    isolated_after_s: Annotated[
        float,
        Option(
            "Silence of store and peers that counts as isolated.",
            unit="s",
            low=1,
        ),
    ] = 10.0


class LogSettings(NamedTuple):
    """Logs of the daemon."""

    level: Annotated[
        str,
        Option("Least level.", choices=("debug", "info", "warning", "error")),
    ] = "info"
    format: Annotated[
        str, Option("Form of a line.", choices=("json", "text"))
    ] = "json"
    access: Annotated[bool, Option("Whether each call is logged.")] = False


class EvidenceSettings(NamedTuple):
    """Summaries of what held, written to the object API."""

    period_s: Annotated[
        float, Option("Period of summaries.", unit="s", low=1, high=3600)
    ] = 30.0
    most_requests: Annotated[
        int, Option("Most requests named in one summary.", low=1, high=1000)
    ] = 50
    retention_days: Annotated[
        int,
        Option("Days for which summaries are kept.", unit="d", low=1, high=800),
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
        Endpoint, Option("Where health, readiness and metrics are served.")
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
            "Time for which a request under which servers ended is refused.",
            unit="s",
            low=1,
        ),
    ] = 300.0
    routing: Annotated[str, Option("Name of the routing plug-in.")] = "adaptive"
    load_reader: Annotated[
        str, Option("Name of the plug-in that reads the load servers tell.")
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
        Option("Path of the operator's private key; needed to change things."),
    ] = ""
    trusted_keys: Annotated[
        tuple[TrustedKey, ...], Option("Keys of operators.", most=64)
    ] = ()
