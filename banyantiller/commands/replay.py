"""`banyantiller replay`: runs a trace against the real decision code."""

import json as json_module

from banyantiller.commands import output
from banyantiller.replay import player


def replay(trace: str, *, json: bool = False) -> int:
    """Replays a trace and checks the outcomes that it states.

    Args:
        trace: Trace file; see the developer guide for its form.
        json: Print JSON for programs.
    """
    results = player.play(player.read(trace))
    failed = [item for item in results if item.problem]
    lines = []
    for item in results:
        fields = json_module.dumps(item.fields) if item.fields else ""
        said = f"FAILS: {item.problem}" if item.problem else "holds"
        lines.append(f"line {item.number}: {item.name} {fields} {said}")
    lines.append(f"{len(results) - len(failed)} of {len(results)} hold.")
    data = {
        "trace": trace,
        "holds": not failed,
        "expectations": [item._asdict() for item in results],
    }
    output.emit(json, data, lines)
    return 1 if failed else 0
