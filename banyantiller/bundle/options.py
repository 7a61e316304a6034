"""Every option of a bundle, declared once with its default.

A bundle defines the services, which of their requests may be retried, and how
traffic is split. `banyantiller.config.options` describes how an option is
declared.
"""

from typing import Annotated, NamedTuple

from banyantiller.config.defaults import NAME_PATTERN
from banyantiller.config.options import Option

NOT_RUN_STATUS = 503


class BackendServer(NamedTuple):
    """One backend server of a service."""

    name: Annotated[str, Option("Name of the server.", pattern=NAME_PATTERN)]
    address: Annotated[str, Option("IP address.", check="ip_address")]
    port: Annotated[int, Option("Port.", low=1, high=65535)]
    zone: Annotated[str, Option("Availability zone.")] = ""
    slots: Annotated[
        int,
        Option("Concurrent requests; 0 uses the value of the service.", low=0),
    ] = 0
    group: Annotated[str, Option("Group, as named by traffic shares.")] = "main"
    vm: Annotated[
        str, Option("Name of its VM in the VM list; may be empty.")
    ] = ""


class RequestRule(NamedTuple):
    """States whether matching requests may be retried; first match applies."""

    idempotent: Annotated[
        bool, Option("Whether a request may run more than once.")
    ]
    methods: Annotated[
        tuple[str, ...],
        Option("HTTP methods; empty means any.", check="method"),
    ] = ()
    path: Annotated[
        str, Option("Path prefix, by whole segments.", check="path_prefix")
    ] = "/"


class Share(NamedTuple):
    """Percentage of a service's traffic that goes to one group of servers."""

    group: Annotated[str, Option("Group of servers.")]
    percent: Annotated[
        float, Option("Percentage of calls.", unit="%", low=0, high=100)
    ]


class Stage(NamedTuple):
    """Traffic shares that apply from a time after the bundle is accepted."""

    after_s: Annotated[
        float, Option("Time since acceptance.", unit="s", low=0, high=604800)
    ]
    shares: Annotated[
        tuple[Share, ...], Option("Shares; they must add up to 100.")
    ]


class QueuePolicy(NamedTuple):
    """Queue in the daemon for calls that find every server busy."""

    limit: Annotated[
        int, Option("Maximum queued calls of the service per daemon.", low=0)
    ] = 64
    longest_s: Annotated[
        float, Option("Maximum wait.", unit="s", low=0, high=600)
    ] = 2.0


class RetryPolicy(NamedTuple):
    """Retries of requests that are idempotent or certainly did not run."""

    attempts: Annotated[
        int, Option("Maximum attempts of one call.", low=1, high=10)
    ] = 3
    budget_percent: Annotated[
        float,
        Option("Retries and hedges per 100 calls.", unit="%", low=0, high=100),
    ] = 10.0
    hedge: Annotated[
        bool, Option("Whether slow idempotent calls are hedged.")
    ] = True


class MeasuringPolicy(NamedTuple):
    """Budget for probes of a service, shared by the whole fleet."""

    probes_per_second: Annotated[
        float,
        Option("Maximum probes of all daemons.", unit="1/s", low=0),
    ] = 2.0
    path: Annotated[
        str, Option("Path that a probe requests.", check="path_prefix")
    ] = "/healthz"


class DrainPolicy(NamedTuple):
    """Draining of a backend server."""

    stop_within_s: Annotated[
        float,
        Option("Time until new requests stop.", unit="s", low=0.1, high=60),
    ] = 3.0


class Service(NamedTuple):
    """A service and its routing options."""

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
    slots: Annotated[int, Option("Concurrent requests per server.", low=1)] = 2
    connections: Annotated[
        int,
        Option("Maximum connections of the fleet to one server.", low=1),
    ] = 200
    requests: Annotated[
        tuple[RequestRule, ...],
        Option("Which requests may be retried; others may not.", most=1000),
    ] = ()
    key_header: Annotated[
        str, Option("Header of the idempotency key.", check="header_name")
    ] = "Idempotency-Key"
    key_required: Annotated[
        bool, Option("Whether a non-idempotent request must carry a key.")
    ] = False
    key_retention_s: Annotated[
        float, Option("How long a used key is kept.", unit="s", low=1)
    ] = 86400.0
    deadline_s: Annotated[
        float,
        Option("Deadline if the caller sets none.", unit="s", low=0.001),
    ] = 10.0
    objective: Annotated[
        str,
        Option(
            "'latency' minimises tail latency, 'cost' the number of probes.",
            choices=("latency", "cost"),
        ),
    ] = "latency"
    shares: Annotated[
        tuple[Share, ...],
        Option("Shares of traffic; empty means an equal split."),
    ] = ()
    stages: Annotated[
        tuple[Stage, ...], Option("Later shares, in chronological order.")
    ] = ()
    evacuated_zones: Annotated[
        tuple[str, ...],
        Option("Availability zones whose servers get no new calls."),
    ] = ()
    queue: Annotated[QueuePolicy, Option("Queue of waiting calls.")] = (
        QueuePolicy()
    )
    retry: Annotated[RetryPolicy, Option("Retries and hedges.")] = RetryPolicy()
    measuring: Annotated[MeasuringPolicy, Option("Probes.")] = MeasuringPolicy()
    drain: Annotated[DrainPolicy, Option("Draining of servers.")] = (
        DrainPolicy()
    )
    not_run_header: Annotated[
        str,
        Option(
            "Header by which a server states, with status 503, that it did"
            " not run the request.",
            check="header_name",
        ),
    ] = "Request-Not-Run"


class Bundle(NamedTuple):
    """The content of a bundle."""

    services: Annotated[tuple[Service, ...], Option("Services.", most=1000)]
    description: Annotated[str, Option("Purpose of the change.")] = ""
