"""Plays random faults around real gateway processes: `python -m soak`."""

import asyncio
import json
import pathlib
import sys
import tempfile

import defopt

from soak import plan as plans
from soak import regressions, run

DEFAULTS = plans.Sizes()


def main(
    *,
    first: int = 1,
    seeds: int = 1,
    seconds: float = DEFAULTS.seconds,
    daemons: int = DEFAULTS.daemons,
    servers: int = DEFAULTS.servers,
    callers: int = DEFAULTS.callers,
    routes: int = DEFAULTS.routes,
    timed: bool = True,
    earlier: bool = False,
    keep: str = "",
) -> int:
    """Plays seeds one after the other and checks what was promised.

    Prints one line of JSON for each seed. The exit status is 0 only if
    nothing was broken.

    Args:
        first: First seed.
        seeds: Number of seeds.
        seconds: Length of a run, in seconds.
        daemons: Gateway processes.
        servers: Servers of each of the two services.
        callers: Callers that keep connections open.
        routes: Routes of the document besides those that callers use.
        timed: Check promises with a time limit as well.
        earlier: Play the seeds that ever failed, in place of others.
        keep: Folder in which settings and logs of failed seeds are kept.
    """
    sizes = plans.Sizes(daemons, servers, callers, seconds, routes)
    wanted = [(seed, sizes) for seed in range(first, first + seeds)]
    if earlier:
        wanted = [(one.seed, one.sizes) for one in regressions.REGRESSIONS]
    failed = 0
    for seed, size in wanted:
        failed += not _play(plans.draw(seed, size), timed, keep)
    print(json.dumps({"seeds": len(wanted), "failed": failed}), flush=True)
    return 1 if failed else 0


def _play(plan: plans.Plan, timed: bool, keep: str) -> bool:
    """Plays one plan and tells whether everything was kept."""
    with tempfile.TemporaryDirectory(prefix="banyantiller-soak-") as name:
        folder = pathlib.Path(name)
        result = asyncio.run(run.play(folder, plan, timed))
        print(json.dumps(_fields(result)), flush=True)
        if result.findings and keep:
            _keep(folder, pathlib.Path(keep) / f"seed-{plan.seed}", plan)
    return not result.findings


def _fields(result: run.Result) -> dict[str, object]:
    fields = result._asdict()
    fields["findings"] = [one._asdict() for one in result.findings]
    return fields


def _keep(folder: pathlib.Path, where: pathlib.Path, plan: plans.Plan) -> None:
    """Copies the logs of a run and its plan."""
    where.mkdir(parents=True, exist_ok=True)
    for path in folder.iterdir():
        (where / path.name).write_bytes(path.read_bytes())
    steps = "\n".join(str(step) for step in plan.steps)
    (where / "plan.txt").write_text(f"{plan.sizes}\n{steps}\n")


if __name__ == "__main__":
    sys.exit(defopt.run(main))
