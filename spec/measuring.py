"""Budget for probes over the whole fleet, by tokens of a window.

One record in the store holds a window and how many of its probes have been
taken. A daemon takes one more by conditional update and may then probe in
that window only. Answers of the store can be lost before or after the write
took effect, and an abandoned write may take effect later; a token whose
answer was lost is not used. Daemons may be paused for any time between two
steps, be restarted, and believe any number of daemons to be alive.
"""

from typing import NamedTuple

from spec.specification import Broken, Specification, Step, Steps, put

DAEMONS = 2
WINDOWS = 3
BUDGET = 2
FIRST_RECORD = (0, 0)

IDLE = "idle"
SENT = "sent"
WRITTEN = "written"


class Daemon(NamedTuple):
    """One daemon.

    Attributes:
        phase: Whether an update is under way.
        seen: Record on which the update is conditional.
        wanted: Record that the update writes.
        tokens: Probes that it may send in `window`.
        window: Window of its tokens, -1 before the first.
        late: Whether an abandoned update may still take effect.
    """

    phase: str = IDLE
    seen: tuple[int, int] = FIRST_RECORD
    wanted: tuple[int, int] = FIRST_RECORD
    tokens: int = 0
    window: int = -1
    late: bool = False


class State(NamedTuple):
    """State of the clock, the record, the daemons and the servers.

    Attributes:
        window: Window at present.
        record: Window and probes taken, as the store holds them.
        daemons: All daemons.
        probes: Probes that the servers got in the present window.
    """

    window: int = 0
    record: tuple[int, int] = FIRST_RECORD
    daemons: tuple[Daemon, ...] = (Daemon(),) * DAEMONS
    probes: int = 0


def with_daemon(state: State, index: int, **changes: object) -> State:
    """Returns the state with one daemon changed."""
    daemon = state.daemons[index]._replace(**changes)
    return state._replace(daemons=put(state.daemons, index, daemon))


def take_step(state: State, index: int) -> list[Step]:
    """Lets a daemon read the record and send an update."""
    window, taken = state.record
    if window < state.window:
        wanted = (state.window, 1)
    elif taken < BUDGET:
        wanted = (window, taken + 1)
    else:
        return []
    if state.daemons[index].late:
        return []
    sent = with_daemon(
        state, index, phase=SENT, seen=state.record, wanted=wanted
    )
    return [(f"take({index})", sent)]


def write(state: State, index: int, variant: str) -> tuple[State, bool]:
    """Lets an update reach the store."""
    daemon = state.daemons[index]
    condition = variant != "charge_without_condition"
    if condition and state.record != daemon.seen:
        return state, False
    return state._replace(record=daemon.wanted), True


def grant(state: State, index: int) -> State:
    """Lets a daemon count a token as its own."""
    daemon = state.daemons[index]
    window = daemon.wanted[0]
    kept = daemon.tokens if daemon.window == window else 0
    return with_daemon(state, index, phase=IDLE, tokens=kept + 1, window=window)


def update_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists what can become of an update."""
    unknown = with_daemon(state, index, phase=IDLE)
    if variant == "lost_answer_counts_as_taken":
        unknown = grant(state, index)
    if state.daemons[index].phase == WRITTEN:
        return [
            (f"answer({index})", grant(state, index)),
            (f"answer_lost({index})", unknown),
        ]
    after, taken = write(state, index, variant)
    phase = WRITTEN if taken else IDLE
    late = with_daemon(unknown, index, late=True)
    return [
        (f"update({index})", with_daemon(after, index, phase=phase)),
        (f"update_times_out({index})", late),
        (f"update_fails({index})", unknown),
    ]


def late_step(state: State, index: int, variant: str) -> list[Step]:
    """Lets an abandoned update take effect."""
    if not state.daemons[index].late:
        return []
    after, _ = write(state, index, variant)
    return [(f"late_update({index})", with_daemon(after, index, late=False))]


def share_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lets a daemon take a share by the members that it believes alive."""
    if state.daemons[index].window == state.window:
        return []
    wrong_counts = variant == "probe_share_by_members"
    believed = range(1, DAEMONS + 1) if wrong_counts else (DAEMONS,)
    return [
        (
            f"take_share({index},{count})",
            with_daemon(
                state, index, tokens=BUDGET // count, window=state.window
            ),
        )
        for count in believed
    ]


def probe_step(state: State, index: int, variant: str) -> list[Step]:
    """Lets a daemon use a token."""
    daemon = state.daemons[index]
    valid = daemon.window == state.window or variant == "token_outlives_window"
    if not daemon.tokens or not valid:
        return []
    used = with_daemon(state, index, tokens=daemon.tokens - 1)
    return [(f"probe({index})", used._replace(probes=state.probes + 1))]


def restart_step(state: State, index: int) -> list[Step]:
    """Lets a daemon be restarted; its update may still take effect."""
    daemon = state.daemons[index]
    if daemon == Daemon():
        return []
    late = daemon.late or daemon.phase == SENT
    fresh = Daemon(seen=daemon.seen, wanted=daemon.wanted, late=late)
    if not late:
        fresh = Daemon()
    daemons = put(state.daemons, index, fresh)
    return [(f"restart({index})", state._replace(daemons=daemons))]


def daemon_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists the steps of one daemon."""
    by_share = variant in ("probe_share_by_members", "restart_refills")
    steps = probe_step(state, index, variant)
    steps += late_step(state, index, variant)
    steps += restart_step(state, index)
    if by_share:
        return steps + share_steps(state, index, variant)
    if state.daemons[index].phase == IDLE:
        return steps + take_step(state, index)
    return steps + update_steps(state, index, variant)


def steps_of(variant: str) -> Steps:
    """Makes the step function of a variant."""

    def steps(state: State) -> list[Step]:
        found: list[Step] = []
        if state.window + 1 < WINDOWS:
            after = state._replace(window=state.window + 1, probes=0)
            found.append(("next_window", after))
        for index in range(len(state.daemons)):
            found += daemon_steps(state, index, variant)
        return found

    return steps


def probes_within_budget(state: State) -> bool:
    """The servers get no more probes in a window than the budget."""
    return state.probes <= BUDGET


def tokens_within_budget(state: State) -> bool:
    """Probes sent and tokens left of a window stay within the budget."""
    usable = sum(
        item.tokens for item in state.daemons if item.window == state.window
    )
    return state.probes + usable <= BUDGET


MEASURING = Specification(
    name="measuring",
    bounds={"daemons": DAEMONS, "windows": WINDOWS, "budget": BUDGET},
    initial=State(),
    steps=steps_of,
    properties={
        "probes_within_budget": probes_within_budget,
        "tokens_within_budget": tokens_within_budget,
    },
    broken=(
        Broken(
            "probe_share_by_members",
            "probes_within_budget",
            "Each daemon takes a share by the members it believes alive.",
        ),
        Broken(
            "restart_refills",
            "probes_within_budget",
            "A restarted daemon takes its share of the window again.",
        ),
        Broken(
            "charge_without_condition",
            "tokens_within_budget",
            "The record is written whatever it is.",
        ),
        Broken(
            "lost_answer_counts_as_taken",
            "tokens_within_budget",
            "A token is used though the answer of its update was lost.",
        ),
        Broken(
            "token_outlives_window",
            "probes_within_budget",
            "A token is used after a pause in a later window.",
        ),
    ),
)
