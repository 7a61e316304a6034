"""Graceful shutdown of a daemon: no caller refused, no call cut.

When the daemon begins to drain, its readiness falls; the platform's balancer
in front of it notices after at most `NOTICE` ticks and sends new connections
elsewhere. The daemon's listeners go on for `GRACE` ticks and it ends when no
call is in flight.
"""

from typing import NamedTuple

from spec.specification import Broken, Specification, Step, Steps

NOTICE = 2
GRACE = 3
CALLS = 2

SERVING = "serving"
DRAINING = "draining"
CLOSED = "closed"
EXITED = "exited"


class State(NamedTuple):
    """State of the daemon and of the platform's balancer.

    Attributes:
        phase: Phase of the daemon.
        time: Ticks since the drain began.
        sends: Whether the platform's balancer sends it connections.
        in_flight: Calls in flight.
        refused: Whether a caller was refused.
        cut: Whether a call in flight was cut.
    """

    phase: str = SERVING
    time: int = 0
    sends: bool = True
    in_flight: int = 0
    refused: bool = False
    cut: bool = False


def arrive(state: State) -> State:
    """Lets a caller connect and send a request."""
    if state.phase in (CLOSED, EXITED):
        return state._replace(refused=True)
    return state._replace(in_flight=state.in_flight + 1)


def close_steps(state: State, variant: str) -> list[Step]:
    """Lists when the listeners close and when the daemon ends."""
    at_once = variant == "close_listeners_at_once"
    if state.phase == DRAINING and (state.time >= GRACE or at_once):
        return [("close_listeners", state._replace(phase=CLOSED))]
    if state.phase == CLOSED and not state.in_flight:
        return [("exit", state._replace(phase=EXITED))]
    if state.phase == CLOSED and variant == "exit_with_calls_in_flight":
        cut = state._replace(phase=EXITED, cut=True, in_flight=0)
        return [("exit", cut)]
    return []


def steps_of(variant: str) -> Steps:
    """Makes the step function of a variant."""
    readiness_falls = variant != "readiness_stays"

    def steps(state: State) -> list[Step]:
        found = close_steps(state, variant)
        if state.sends and state.in_flight < CALLS:
            found.append(("arrive", arrive(state)))
        if state.in_flight:
            ended = state._replace(in_flight=state.in_flight - 1)
            found.append(("answer", ended))
        if state.phase == SERVING:
            found.append(("drain", state._replace(phase=DRAINING)))
            return found
        if state.sends and readiness_falls:
            found.append(("notice", state._replace(sends=False)))
        unnoticed = state.sends and readiness_falls and state.time >= NOTICE
        if not unnoticed and state.time < GRACE:
            found.append(("tick", state._replace(time=state.time + 1)))
        return found

    return steps


def nobody_refused(state: State) -> bool:
    """No caller that the platform's balancer sends is refused."""
    return not state.refused


def nothing_cut(state: State) -> bool:
    """No call in flight is cut."""
    return not state.cut


DAEMON_DRAIN = Specification(
    name="daemon_drain",
    bounds={
        "calls_in_flight": CALLS,
        "notice_ticks": NOTICE,
        "grace_ticks": GRACE,
    },
    initial=State(),
    steps=steps_of,
    properties={
        "nobody_refused": nobody_refused,
        "nothing_cut": nothing_cut,
    },
    broken=(
        Broken(
            "close_listeners_at_once",
            "nobody_refused",
            "Listeners close when the drain begins.",
        ),
        Broken(
            "readiness_stays",
            "nobody_refused",
            "Readiness does not fall when the drain begins.",
        ),
        Broken(
            "exit_with_calls_in_flight",
            "nothing_cut",
            "The daemon ends when its listeners are closed.",
        ),
    ),
)
