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
    """Numbers that decide how the policy weighs what it knows.

    Attributes:
        report_decay_age: Age at which a report's weight has fallen to 1/e, in
            service times.
        distrust_threshold: Share of wrong reports from which all are believed
            less;
            from twice of it on they count for nothing.
        slow_threshold: Times slower than usual from which a server counts as
            slow; less is taken for chance.
        cross_zone_latency_s: Latency that another availability zone adds.
        backlog_threshold: Reported requests for each slot from which a server
            counts as overloaded.
        hedge_quantile: Share of calls that should answer before a hedge.
        slow_server_hedge_age: Age at which a try on a suspect server is
            hedged, in
            service times.
        hedge_reserve: Tokens of the extra-call budget kept for retries.
        max_retry_tokens: Most tokens of the extra-call budget.
        overdue_factor: Times slower that a server is taken to be for each
            overdue try given up there in a row after the first, which may be
            chance.
        max_overdue_cancellations: Overdue tries given up in a row that eject a
            server.
        eject_s: First length of an ejection.
        max_eject_s: Longest ejection.
        max_ejected_share: Largest part of a group that may be ejected at once.
        ramp_s: Time over which a cold server gets its full share.
        ramp_factor: How many times slower a fresh server is taken to be.
        probe_recovery: Whether probes test ejected servers.
        disabled: Mechanisms that are switched off, for measurements only.
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
