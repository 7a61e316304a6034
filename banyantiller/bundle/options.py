"""Every option of a bundle, declared once with its default.

A bundle states which services exist, which requests may be repeated, and
how traffic is shared. See `banyantiller.config.options` for the form.
"""

from typing import Annotated, NamedTuple

from banyantiller.config.defaults import NAME_PATTERN
from banyantiller.config.options import Option

NOT_RUN_STATUS = 503


class BackendServer(NamedTuple):
    """One backend server of a service."""

    name: Annotated[str, Option("Name of the server.", pattern=NAME_PATTERN)]
    address: Annotated[str, Option("IP number.", check="ip_address")]
    port: Annotated[int, Option("Port.", low=1, high=65535)]
    zone: Annotated[str, Option("Availability zone.")] = ""
    slots: Annotated[
        int, Option("Requests it runs at once; 0 takes the service's.", low=0)
    ] = 0
    group: Annotated[str, Option("Group that a traffic share names.")] = "main"
    vm: Annotated[str, Option("Name of its VM in the VM list, or empty.")] = ""


class RequestRule(NamedTuple):
    """States whether matching requests may be repeated; first match wins."""

    idempotent: Annotated[bool, Option("Whether a request may run twice.")]
    methods: Annotated[
        tuple[str, ...], Option("Methods; empty means any.", check="method")
    ] = ()
    path: Annotated[
        str, Option("Path prefix, by whole segments.", check="path_prefix")
    ] = "/"


class Share(NamedTuple):
    """Part of a service's traffic that goes to one group of servers."""

    group: Annotated[str, Option("Group of servers.")]
    percent: Annotated[
        float, Option("Share of calls.", unit="%", low=0, high=100)
    ]


class Stage(NamedTuple):
    """Traffic shares that apply from a time after the bundle is accepted."""

    after_s: Annotated[
        float, Option("Time since acceptance.", unit="s", low=0, high=604800)
    ]
    shares: Annotated[tuple[Share, ...], Option("Shares; they add up to 100.")]


class QueuePolicy(NamedTuple):
    """Waiting in the daemon while every server is busy."""

    limit: Annotated[
        int, Option("Most calls of the service that wait in one daemon.", low=0)
    ] = 64
    longest_s: Annotated[
        float, Option("Longest wait.", unit="s", low=0, high=600)
    ] = 2.0


class RetryPolicy(NamedTuple):
    """Further tries of idempotent requests or of those known not run."""

    attempts: Annotated[
        int, Option("Most tries of one call.", low=1, high=10)
    ] = 3
    budget_percent: Annotated[
        float,
        Option("Retries and hedges over calls.", unit="%", low=0, high=100),
    ] = 10.0
    hedge: Annotated[
        bool, Option("Whether slow idempotent calls are hedged.")
    ] = True


class MeasuringPolicy(NamedTuple):
    """The budget for probes of a service over the whole fleet."""

    probes_per_second: Annotated[
        float, Option("Most probes by all daemons together.", unit="1/s", low=0)
    ] = 2.0
    path: Annotated[
        str, Option("Path that a probe gets.", check="path_prefix")
    ] = "/healthz"


class DrainPolicy(NamedTuple):
    """How a backend server leaves."""

    stop_within_s: Annotated[
        float,
        Option("Time to the last new request.", unit="s", low=0.1, high=60),
    ] = 3.0


class Service(NamedTuple):
    """One service."""

    name: Annotated[str, Option("Name of the service.", pattern=NAME_PATTERN)]
    servers: Annotated[
        tuple[BackendServer, ...], Option("Backend servers.", most=2000)
    ]
    hosts: Annotated[
        tuple[str, ...],
        Option(
            "Values of the Host header; empty means any.",
            check="host",
        ),
    ] = ()
    path: Annotated[
        str, Option("Path prefix, by whole segments.", check="path_prefix")
    ] = "/"
    slots: Annotated[int, Option("Requests a server runs at once.", low=1)] = 2
    connections: Annotated[
        int,
        Option("Most connections to one server from the whole fleet.", low=1),
    ] = 200
    requests: Annotated[
        tuple[RequestRule, ...],
        Option("Which requests may be repeated; others may not.", most=1000),
    ] = ()
    key_header: Annotated[
        str, Option("Header of the idempotency key.", check="header_name")
    ] = "Idempotency-Key"
    key_required: Annotated[
        bool, Option("Whether a non-idempotent request must carry a key.")
    ] = False
    key_retention_s: Annotated[
        float, Option("How long a used key is remembered.", unit="s", low=1)
    ] = 86400.0
    deadline_s: Annotated[
        float,
        Option("Deadline when the caller states none.", unit="s", low=0.001),
    ] = 10.0
    objective: Annotated[
        str,
        Option(
            "'latency' weighs tail latency first, 'cost' measuring.",
            choices=("latency", "cost"),
        ),
    ] = "latency"
    shares: Annotated[
        tuple[Share, ...], Option("Shares of traffic; empty means all alike.")
    ] = ()
    stages: Annotated[
        tuple[Stage, ...], Option("Shares that follow, in order of time.")
    ] = ()
    evacuated_zones: Annotated[
        tuple[str, ...],
        Option("Availability zones whose servers get no new calls."),
    ] = ()
    queue: Annotated[QueuePolicy, Option("Waiting.")] = QueuePolicy()
    retry: Annotated[RetryPolicy, Option("Retries and hedges.")] = RetryPolicy()
    measuring: Annotated[MeasuringPolicy, Option("Probes.")] = MeasuringPolicy()
    drain: Annotated[DrainPolicy, Option("Leaving servers.")] = DrainPolicy()
    not_run_header: Annotated[
        str,
        Option(
            "Header by which a server says, with status 503, that it did not"
            " run the request.",
            check="header_name",
        ),
    ] = "Request-Not-Run"


class Bundle(NamedTuple):
    """The whole content of a bundle."""

    services: Annotated[tuple[Service, ...], Option("Services.", most=1000)]
    description: Annotated[str, Option("What the change is for.")] = ""
