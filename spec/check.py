"""Checks the specifications exhaustively: `python -m spec.check`.

The exit status is 0 only if every property holds in every reachable state of
every protocol asked for, 1 if a property is violated, and 3 if a search did
not end within its limit, which proves nothing.
"""

import json
import sys
from typing import Any, NamedTuple

import defopt
import minicheck

from spec.acceptance import ACCEPTANCE
from spec.allowances import ALLOWANCES
from spec.claims import CLAIMS
from spec.daemon_drain import DAEMON_DRAIN
from spec.evacuations import EVACUATIONS
from spec.measuring import MEASURING
from spec.mirror import MIRROR
from spec.quarantine import QUARANTINE
from spec.restored import RESTORED
from spec.server_drain import SERVER_DRAIN
from spec.sharing import SHARING
from spec.specification import Broken, Specification, protocol
from spec.spread import SPREAD
from spec.turns import TURNS

SPECIFICATIONS = (
    ACCEPTANCE,
    SPREAD,
    CLAIMS,
    SERVER_DRAIN,
    DAEMON_DRAIN,
    MEASURING,
    MIRROR,
    RESTORED,
    SHARING,
    QUARANTINE,
    EVACUATIONS,
    TURNS,
    ALLOWANCES,
)
# States of one search: a protocol that grows by mistake ends as undetermined
# in place of running on. The largest one, claims, takes four fifths of them.
MOST_STATES = 600_000

HOLDS = "holds"
VIOLATED = "violated"
UNDETERMINED = "undetermined"
EXIT_CODES = {HOLDS: 0, VIOLATED: 1, UNDETERMINED: 3}


class Result(NamedTuple):
    """What a search found.

    Attributes:
        protocol: Name of the specification.
        variant: Name of the broken variant, or empty.
        bounds: Bounds of the search.
        states: Reachable states that were visited.
        exhaustive: Whether these are all of them.
        properties: Verdict by property.
        traces: Shortest trace to a violation by property.
    """

    protocol: str
    variant: str
    bounds: dict[str, int]
    states: int
    exhaustive: bool
    properties: dict[str, str]
    traces: dict[str, list[dict[str, Any]]]

    @property
    def verdict(self) -> str:
        """The worst verdict of all properties."""
        return worst(self.properties.values())


def worst(verdicts: Any) -> str:
    """Returns the verdict over several; nothing checked is no pass."""
    found = set(verdicts)
    if VIOLATED in found:
        return VIOLATED
    return HOLDS if found == {HOLDS} else UNDETERMINED


def verdict(holds: bool | None) -> str:
    """Returns the name of the model checker's verdict."""
    return {True: HOLDS, False: VIOLATED, None: UNDETERMINED}[holds]


def check(
    specification: Specification, most_states: int = MOST_STATES
) -> Result:
    """Searches every reachable state of a specification."""
    found = minicheck.check_safety(
        protocol(specification), max_states=most_states
    )
    return result(specification, "", found)


def check_broken(specification: Specification, broken: Broken) -> Result:
    """Searches a broken variant until the property at stake is violated.

    The search ends early with the violation, so the other properties are
    undetermined.
    """
    only = specification._replace(
        properties={broken.violates: specification.properties[broken.violates]}
    )
    model = until_violated(protocol(only, broken.name), broken.violates)
    found = minicheck.check_safety(model, max_states=MOST_STATES)
    whole = found["properties"][broken.violates]["holds"] is True
    found["exhaustive"] = whole and found["exhaustive"]
    return result(specification, broken.name, found)


def until_violated(model: Any, name: str) -> Any:
    """Makes a model stop to unfold once the named property is violated."""
    holds = model.invariants[name]
    unfold = model.transitions
    violations: list[Any] = []

    def watched(fields: dict[str, Any]) -> bool:
        held = holds(fields)
        if not held:
            violations.append(fields)
        return held

    model.invariants = {name: watched}
    model.transitions = lambda state: [] if violations else unfold(state)
    return model


def result(
    specification: Specification, variant: str, found: dict[str, Any]
) -> Result:
    """Converts the model checker's answer."""
    verdicts = dict.fromkeys(specification.properties, UNDETERMINED)
    traces = {}
    for name, outcome in found["properties"].items():
        verdicts[name] = verdict(outcome["holds"])
        if outcome["counterexample"]:
            traces[name] = outcome["counterexample"]
    return Result(
        protocol=specification.name,
        variant=variant,
        bounds=specification.bounds,
        states=found["reachable_states"],
        exhaustive=found["exhaustive"],
        properties=verdicts,
        traces=traces,
    )


def find_broken(name: str) -> tuple[Specification, Broken] | None:
    """Returns a broken variant and its specification by name."""
    for specification in SPECIFICATIONS:
        for broken in specification.broken:
            if broken.name == name:
                return specification, broken
    return None


def print_result(found: Result) -> None:
    """Prints a result, and each trace step by step with what it changed."""
    name = (
        f"{found.protocol}, {found.variant}"
        if found.variant
        else (found.protocol)
    )
    extent = "all" if found.exhaustive else "not all"
    bounds = ", ".join(f"{key}={n}" for key, n in found.bounds.items())
    print(f"{name}: {found.states} states ({extent}); {bounds}")
    for property_name, said in found.properties.items():
        print(f"  {said:<12} {property_name}")
    for property_name, trace in found.traces.items():
        print(f"  shortest trace that violates {property_name}:")
        print_trace(trace)


def print_trace(trace: list[dict[str, Any]]) -> None:
    """Prints the steps of a trace with the fields that each one changed."""
    before = trace[0]["state"]
    for number, step in enumerate(trace[1:], 1):
        after = step["state"]
        changed = [
            f"{name}={value}"
            for name, value in after.items()
            if value != before[name]
        ]
        print(f"    {number:>2}. {step['label']}")
        print(f"        {'; '.join(changed)}")
        before = after


def summary(results: list[Result]) -> dict[str, Any]:
    """Returns the last line: states, bounds and verdict by property."""
    return {
        "verdict": worst(item.verdict for item in results),
        "states": sum(item.states for item in results),
        "protocols": {
            item.protocol: {
                "variant": item.variant,
                "bounds": item.bounds,
                "states": item.states,
                "exhaustive": item.exhaustive,
                "properties": item.properties,
                "trace_steps": {
                    name: len(trace) - 1 for name, trace in item.traces.items()
                },
            }
            for item in results
        },
    }


def main(*, protocol: str = "", broken: str = "", json: bool = False) -> int:
    """Checks every protocol, one protocol, or one broken variant.

    Args:
        protocol: Name of the only protocol to check.
        broken: Name of a broken variant to check instead.
        json: Print a last line of JSON.

    Returns:
        Exit status.
    """
    if broken:
        variant = find_broken(broken)
        if variant is None:
            return unknown(broken, [b.name for b in all_broken()])
        results = [check_broken(*variant)]
    else:
        names = [item.name for item in SPECIFICATIONS]
        if protocol and protocol not in names:
            return unknown(protocol, names)
        results = [
            check(item)
            for item in SPECIFICATIONS
            if protocol in ("", item.name)
        ]
    for item in results:
        print_result(item)
    if json:
        print_summary(results)
    return EXIT_CODES[worst(item.verdict for item in results)]


def all_broken() -> list[Broken]:
    """Returns every broken variant of every specification."""
    return [broken for item in SPECIFICATIONS for broken in item.broken]


def unknown(name: str, known: list[str]) -> int:
    """Reports a name that does not exist."""
    print(f"'{name}' is not one of {', '.join(known)}.", file=sys.stderr)
    return 2


def print_summary(results: list[Result]) -> None:
    """Prints the summary as one line of JSON."""
    print(json.dumps(summary(results)))


if __name__ == "__main__":
    sys.exit(defopt.run(main))
