"""Constants of the routing policy, by objective of the service."""

from typing import NamedTuple

MECHANISMS = (
    "reports",
    "trust",
    "zone",
    "slowness",
    "hedges",
    "retries",
    "ejection",
    "ramp",
    "limits",
)


class Tuning(NamedTuple):
    """Weights and thresholds of the policy.

    Attributes:
        report_decay_age: Age at which a report's weight has fallen to 1/e, in
            service times.
        distrust_threshold: Share of wrong reports above which all reports
            lose weight; at twice this share they have none.
        slow_threshold: Slowdown from which a server counts as slow; smaller
            ones are treated as noise.
        cross_zone_latency_s: Latency that another availability zone adds.
        backlog_threshold: Reported requests per slot from which a server
            counts as overloaded.
        hedge_quantile: Quantile of the latency at which a call is hedged.
        slow_server_hedge_age: Age at which an attempt at a slow server is
            hedged, in service times.
        hedge_reserve: Tokens of the retry budget kept for retries.
        max_retry_tokens: Capacity of the retry budget.
        overdue_factor: Slowdown that each overdue attempt cancelled at a
            server in a row adds after the first, which may be chance.
        max_overdue_cancellations: Overdue attempts cancelled in a row that
            eject a server.
        eject_s: Length of the first ejection.
        max_eject_s: Longest ejection.
        max_ejected_share: Largest share of a group that may be ejected at once.
        ramp_s: Time in which a new server reaches its full share.
        ramp_factor: Slowdown assumed for a server that has just been added.
        probe_recovery: Whether probes test ejected servers.
        disabled: Mechanisms that are switched off, for benchmarks only.
    """

    report_decay_age: float = 0.8
    distrust_threshold: float = 0.03
    slow_threshold: float = 2.0
    cross_zone_latency_s: float = 0.0016
    backlog_threshold: float = 3.0
    hedge_quantile: float = 0.97
    slow_server_hedge_age: float = 1.5
    hedge_reserve: float = 2.0
    max_retry_tokens: float = 20.0
    overdue_factor: float = 0.5
    max_overdue_cancellations: int = 3
    eject_s: float = 0.2
    max_eject_s: float = 5.0
    max_ejected_share: float = 0.5
    ramp_s: float = 0.5
    ramp_factor: float = 4.0
    probe_recovery: bool = True
    disabled: frozenset[str] = frozenset()

    def report_decay_s(self, service_time_s: float) -> float:
        """Returns the age at which a report's weight has fallen to 1/e."""
        return self.report_decay_age * service_time_s


def for_objective(objective: str) -> Tuning:
    """Returns the constants for "latency" or "cost"."""
    if objective == "cost":
        return Tuning(probe_recovery=False)
    return Tuning()
