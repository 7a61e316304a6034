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
        belief_age: Age at which a report's weight has fallen to 1/e, in
            service times.
        doubt_from: Share of wrong reports from which all are believed less;
            from twice of it on they count for nothing.
        slow_from: Times slower than usual from which a server counts as
            slow; less is taken for chance.
        cross_zone_s: Latency that another availability zone adds.
        backlog_at: Reported requests for each slot from which a server
            counts as overloaded.
        hedge_quantile: Share of calls that should answer before a hedge.
        hedge_early: Age at which a try on a suspect server is hedged, in
            service times.
        hedge_reserve: Tokens of the extra-call budget kept for retries.
        burst: Most tokens of the extra-call budget.
        given_up_factor: Times slower that a server is taken to be for each
            overdue try given up there in a row after the first, which may be
            chance.
        silent_after: Overdue tries given up in a row that eject a server.
        eject_s: First length of an ejection.
        eject_longest_s: Longest ejection.
        eject_share: Largest part of a group that may be ejected at once.
        ramp_s: Time over which a cold server gets its full share.
        ramp_factor: How many times slower a fresh server is taken to be.
        probe_recovery: Whether probes test ejected servers.
        off: Mechanisms that are switched off, for measurements only.
    """

    belief_age: float = 0.8
    doubt_from: float = 0.03
    slow_from: float = 2.0
    cross_zone_s: float = 0.0016
    backlog_at: float = 3.0
    hedge_quantile: float = 0.97
    hedge_early: float = 1.5
    hedge_reserve: float = 2.0
    burst: float = 20.0
    given_up_factor: float = 0.5
    silent_after: int = 3
    eject_s: float = 0.2
    eject_longest_s: float = 5.0
    eject_share: float = 0.5
    ramp_s: float = 0.5
    ramp_factor: float = 4.0
    probe_recovery: bool = True
    off: frozenset[str] = frozenset()

    def belief_s(self, service_s: float) -> float:
        """Returns the age at which a report's weight has fallen to 1/e."""
        return self.belief_age * service_s


def for_objective(objective: str) -> Tuning:
    """Returns the constants for "latency" or "cost"."""
    if objective == "cost":
        return Tuning(probe_recovery=False)
    return Tuning()
