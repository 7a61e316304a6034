"""What `bench.decisions` says for the load that `bench.load` made."""

from typing import Any

from bench import decisions, decisions_scenarios
from bench.load_scenarios import Case

HERE = "load"
ZONES = ("north", "south")
KEPT = ("p50_ms", "p99_ms", "p999_ms", "goodput", "extra")
MOST = 0.99


def compute(case: Case, planned: float, used: float) -> dict[str, Any]:
    """Runs the same sizes, rate and disturbance on the paused clock.

    Keys and callers' own retries are left out, as the bench has none.

    Args:
        case: What was run on real daemons.
        planned: Share of all slots that the requests' own time takes.
        used: Share that is to be taken; requests are longer in proportion.
    """
    used = min(MOST, used)
    size = case.plan.size
    decisions.SIZES[HERE] = size._replace(
        daemons=case.plan.daemons,
        zones=ZONES,
        seconds=case.seconds,
        mean_s=size.mean_s * used / planned,
    )
    decisions.SCENARIOS[HERE] = decisions_scenarios.Scenario(
        decisions_scenarios.steady(used), case.scenario.like
    )
    plan = case.plan
    task = decisions.Task(HERE, HERE, plan.policy, 1.0, plan.seed, "")
    _, figures = decisions.run(task)
    return {name: round(figures[name], 4) for name in KEPT}
