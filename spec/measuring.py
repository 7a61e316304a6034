"""The right to probe a service, handed from daemon to daemon by the store.

One permit allows one probe each `SPACING` ticks. A daemon takes it by
conditional update and may use it for `USE` ticks, counted from before it
asked. Everybody else leaves it alone for `LASTS` ticks, counted from when
they first saw that it was taken. So no wall clocks are compared and nobody
counts members. Answers of the store can be lost before or after the write
took effect, and an abandoned write may take effect later; a permit whose
answer was lost is not used. Daemons may be paused for any time between two
steps, and forget everything on a restart. Several permits multiply the rate.
"""

from typing import NamedTuple

from spec.specification import Broken, Specification, Step, Steps, put

DAEMONS = 2
SPACING = 2
USE = 3
LASTS = USE + SPACING
CLOCK_ERROR = 3

IDLE = "idle"
SENT = "sent"
WRITTEN = "written"


class Daemon(NamedTuple):
    """One daemon; times are in ticks.

    Attributes:
        phase: Whether an update is under way.
        current: Whether it knows who took the permit last.
        wait: Time until it may take the permit.
        valid: Whether the condition of its update still holds.
        late: Whether an abandoned update may still take effect.
        holds: Whether it was told that it has the permit.
        left: Time for which it may use the permit.
        gap: Time since its last probe, at most `SPACING`.
    """

    phase: str = IDLE
    current: bool = False
    wait: int = 0
    valid: bool = False
    late: bool = False
    holds: bool = False
    left: int = 0
    gap: int = SPACING


class State(NamedTuple):
    """State of the daemons and of the probed servers.

    Attributes:
        daemons: All daemons.
        gap: Time since the last probe of any daemon, at most `SPACING`.
        early: Whether a probe came before `SPACING` had passed.
    """

    daemons: tuple[Daemon, ...] = (Daemon(),) * DAEMONS
    gap: int = SPACING
    early: bool = False


def with_daemon(state: State, index: int, **changes: object) -> State:
    """Returns the state with one daemon changed."""
    daemon = state.daemons[index]._replace(**changes)
    return state._replace(daemons=put(state.daemons, index, daemon))


def land(state: State, index: int) -> State:
    """Lets an update take effect; it ends the conditions of all others."""
    daemons = tuple(
        item._replace(current=False, valid=False, late=False)
        for item in state.daemons
    )
    state = state._replace(daemons=daemons)
    return with_daemon(state, index, current=True)


def read_step(state: State, index: int, variant: str) -> list[Step]:
    """Lets a daemon see that the permit was taken since it last looked."""
    if state.daemons[index].current:
        return []
    wait = LASTS
    if variant == "wait_by_wall_clock":
        wait = LASTS - CLOCK_ERROR
    seen = with_daemon(state, index, current=True, wait=wait)
    return [(f"read({index})", seen)]


def take_step(state: State, index: int) -> list[Step]:
    """Lets a daemon ask for the permit when it has waited long enough."""
    daemon = state.daemons[index]
    if daemon.phase != IDLE or daemon.wait or not daemon.current:
        return []
    if daemon.late:
        return []
    asked = with_daemon(
        state, index, phase=SENT, valid=True, wait=LASTS, left=USE
    )
    return [(f"ask({index})", asked)]


def sent_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists what can become of an update that was sent."""
    daemon = state.daemons[index]
    lost = with_daemon(
        state, index, phase=IDLE, valid=False, current=False, left=0
    )
    if variant == "lost_answer_counts_as_taken":
        lost = with_daemon(lost, index, holds=True, left=daemon.left)
    late = with_daemon(lost, index, late=daemon.valid)
    steps = [(f"fail({index})", lost), (f"time_out({index})", late)]
    if daemon.valid or variant == "charge_without_condition":
        written = with_daemon(land(state, index), index, phase=WRITTEN)
        steps.append((f"take({index})", written))
    return steps


def written_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists how the answer of a taken permit reaches its daemon."""
    left = state.daemons[index].left
    if variant == "use_counted_from_answer":
        left = USE
    told = with_daemon(state, index, phase=IDLE, holds=left > 0, left=left)
    lost = with_daemon(state, index, phase=IDLE, current=False, left=0)
    return [(f"answer({index})", told), (f"answer_lost({index})", lost)]


def probe_step(state: State, index: int, variant: str) -> list[Step]:
    """Lets a daemon send a probe."""
    daemon = state.daemons[index]
    allowed = daemon.holds and daemon.left > 0
    if variant == "probe_share_by_members":
        allowed = True
    if variant == "use_after_end":
        allowed = daemon.holds
    if not allowed or daemon.gap < SPACING:
        return []
    sent = with_daemon(state, index, gap=0)
    early = state.early or state.gap < SPACING
    return [(f"probe({index})", sent._replace(gap=0, early=early))]


def restart_step(state: State, index: int, variant: str) -> list[Step]:
    """Lets a daemon be restarted; its update may still take effect."""
    daemon = state.daemons[index]
    late = daemon.late or (daemon.phase == SENT and daemon.valid)
    fresh = Daemon(late=late)
    if variant == "restart_goes_on" and daemon.holds:
        fresh = fresh._replace(holds=True, left=USE)
    if fresh == daemon:
        return []
    daemons = put(state.daemons, index, fresh)
    return [(f"restart({index})", state._replace(daemons=daemons))]


def late_step(state: State, index: int) -> list[Step]:
    """Lets an abandoned update take effect, which its daemon can't know."""
    if not state.daemons[index].late:
        return []
    landed = with_daemon(land(state, index), index, current=False)
    return [(f"take({index})", landed)]


def tick(state: State, variant: str) -> State:
    """Lets one tick pass for everybody."""
    daemons = tuple(after_tick(item, variant) for item in state.daemons)
    return state._replace(daemons=daemons, gap=min(state.gap + 1, SPACING))


def after_tick(daemon: Daemon, variant: str) -> Daemon:
    """Returns a daemon one tick later."""
    left = max(daemon.left - 1, 0)
    keeps = left > 0 or variant == "use_after_end"
    return daemon._replace(
        wait=max(daemon.wait - 1, 0),
        left=left,
        holds=daemon.holds and keeps,
        gap=min(daemon.gap + 1, SPACING),
    )


def steps_of(variant: str) -> Steps:
    """Makes the step function of a variant."""

    def steps(state: State) -> list[Step]:
        found: list[Step] = [("tick", tick(state, variant))]
        for index, daemon in enumerate(state.daemons):
            found += read_step(state, index, variant)
            found += take_step(state, index)
            if daemon.phase == SENT:
                found += sent_steps(state, index, variant)
            elif daemon.phase == WRITTEN:
                found += written_steps(state, index, variant)
            found += probe_step(state, index, variant)
            found += restart_step(state, index, variant)
            found += late_step(state, index)
        return found

    return steps


def probes_keep_their_spacing(state: State) -> bool:
    """No two probes of one permit are closer than the spacing."""
    return not state.early


def one_holder(state: State) -> bool:
    """At most one daemon may use the permit at any time."""
    return sum(item.holds and item.left > 0 for item in state.daemons) <= 1


MEASURING = Specification(
    name="measuring",
    bounds={
        "daemons": DAEMONS,
        "permits": 1,
        "spacing_ticks": SPACING,
        "use_ticks": USE,
    },
    initial=State(),
    steps=steps_of,
    properties={
        "probes_keep_their_spacing": probes_keep_their_spacing,
        "one_holder": one_holder,
    },
    broken=(
        Broken(
            "probe_share_by_members",
            "probes_keep_their_spacing",
            "Each daemon probes as if the members it knows were all.",
        ),
        Broken(
            "charge_without_condition",
            "one_holder",
            "The permit is written whoever took it meanwhile.",
        ),
        Broken(
            "lost_answer_counts_as_taken",
            "one_holder",
            "A permit is used though the answer of its update was lost.",
        ),
        Broken(
            "use_counted_from_answer",
            "one_holder",
            "The time of use begins with the answer, after any pause.",
        ),
        Broken(
            "wait_by_wall_clock",
            "one_holder",
            "Others wait until the taker's wall clock, not their own time.",
        ),
        Broken(
            "restart_goes_on",
            "probes_keep_their_spacing",
            "A restarted daemon uses the permit as if it had just taken it.",
        ),
        Broken(
            "use_after_end",
            "probes_keep_their_spacing",
            "A permit is used after its time by a daemon that was paused.",
        ),
    ),
)
