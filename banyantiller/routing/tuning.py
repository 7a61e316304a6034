"""Constants of the routing policy, by objective of the service."""

from typing import NamedTuple

MECHANISMS = (
    "reports",
    "ageing",
    "zone",
    "slowness",
    "outstanding",
    "hedges",
    "retries",
    "ejection",
    "ramp",
    "limits",
    "holding",
    "peers",
)


class Tuning(NamedTuple):
    """Numbers that decide how the policy weighs what it knows.

    Attributes:
        belief_half: Age at which a report counts half, in service times.
        cross_zone_s: Latency that another availability zone adds.
        hold_at: Believed requests per slot above which a call waits in the
            daemon.
        hedge_quantile: Share of calls that should answer before a hedge.
        hedge_reserve: Tokens of the extra-call budget kept for retries.
        burst: Most tokens of the extra-call budget.
        eject_s: First length of an ejection.
        eject_longest_s: Longest ejection.
        eject_share: Largest part of a group that may be ejected at once.
        ramp_s: Time over which a cold server gets its full share.
        ramp_factor: How many times slower a fresh server is taken to be.
        probe_recovery: Whether probes test ejected servers.
        off: Mechanisms that are switched off, for measurements only.
    """

    belief_half: float = 2.0
    cross_zone_s: float = 0.0016
    hold_at: float = 3.0
    hedge_quantile: float = 0.9
    hedge_reserve: float = 2.0
    burst: float = 20.0
    eject_s: float = 0.2
    eject_longest_s: float = 5.0
    eject_share: float = 0.5
    ramp_s: float = 2.0
    ramp_factor: float = 4.0
    probe_recovery: bool = True
    off: frozenset[str] = frozenset()


def for_objective(objective: str) -> Tuning:
    """Returns the constants for "latency" or "cost"."""
    if objective == "cost":
        return Tuning(probe_recovery=False)
    return Tuning()
