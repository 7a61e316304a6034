"""How a backend server leaves: nothing new after a bound, nothing cut.

Time goes by in ticks from the moment the server begins to leave. The VM list
shows it after at most `LIST_LAG` ticks; each daemon reads the list every
`READ_PERIOD` ticks, and at most `FAILED_READS` of its reads fail or are
stale. A daemon may also learn from an answer of the server or from a peer,
but neither has to happen. A daemon that has started routes nothing before it
has learned from the list or from a peer which servers are leaving.
"""

from typing import NamedTuple

from spec.specification import Broken, Specification, Step, Steps, put

DAEMONS = 2
LIST_LAG = 2
READ_PERIOD = 1
FAILED_READS = 1
BOUND = LIST_LAG + READ_PERIOD * (1 + FAILED_READS)


class Daemon(NamedTuple):
    """One daemon's view of the server.

    Attributes:
        ready: Whether it has read the list or heard a peer since its start.
        knows: Whether it knows that the server is leaving.
        unread: Ticks since its last read of the list.
        failed: Reads of the list that failed or were stale.
        in_flight: Whether a request of it runs on the server.
    """

    ready: bool = True
    knows: bool = False
    unread: int = 0
    failed: int = 0
    in_flight: bool = False


class State(NamedTuple):
    """State of the list, the server and the daemons.

    Attributes:
        time: Ticks since the server began to leave.
        listed: Whether the VM list shows it.
        daemons: All daemons.
        stopped: Whether the server has ended.
        late: Whether the server got a request after the bound.
        cut: Whether a request in flight was cut.
    """

    time: int = 0
    listed: bool = False
    daemons: tuple[Daemon, ...] = (Daemon(),) * DAEMONS
    stopped: bool = False
    late: bool = False
    cut: bool = False


def with_daemon(state: State, index: int, **changes: object) -> State:
    """Returns the state with one daemon changed."""
    daemon = state.daemons[index]._replace(**changes)
    return state._replace(daemons=put(state.daemons, index, daemon))


def learn(state: State, index: int, variant: str) -> State:
    """Lets a daemon learn that the server is leaving."""
    daemon = state.daemons[index]
    if variant == "close_connections_on_leaving" and daemon.in_flight:
        cut = state._replace(cut=True)
        return with_daemon(cut, index, knows=True, in_flight=False)
    return with_daemon(state, index, knows=True)


def read(state: State, index: int, variant: str) -> State:
    """Lets a daemon read the list as it is."""
    state = with_daemon(state, index, unread=0, ready=True)
    if not state.listed or variant == "learn_only_from_answers":
        return state
    return learn(state, index, variant)


def failed_read(state: State, index: int, variant: str) -> State:
    """Lets a read of a daemon fail, or show an older list."""
    daemon = state.daemons[index]
    knows = daemon.knows and variant != "last_read_decides"
    failed = daemon.failed + 1
    return with_daemon(state, index, unread=0, failed=failed, knows=knows)


def restart(state: State, index: int, variant: str) -> State:
    """Lets a daemon without requests in flight be replaced."""
    serves = variant == "restart_serves_at_once"
    fresh = Daemon(ready=serves, failed=state.daemons[index].failed)
    return state._replace(daemons=put(state.daemons, index, fresh))


def routing_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists what a daemon does with requests."""
    daemon = state.daemons[index]
    steps: list[Step] = []
    if daemon.in_flight:
        ended = with_daemon(state, index, in_flight=False)
        steps.append((f"answer({index})", ended))
        told = learn(ended, index, variant)
        steps.append((f"answer_says_leaving({index})", told))
    elif daemon.ready and not daemon.knows and not state.stopped:
        sent = with_daemon(state, index, in_flight=True)
        late = state.late or state.time > BOUND
        steps.append((f"send({index})", sent._replace(late=late)))
    return steps


def learning_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists how a daemon learns, or fails to."""
    daemon = state.daemons[index]
    steps = [(f"read({index})", read(state, index, variant))]
    if daemon.failed < FAILED_READS:
        after = failed_read(state, index, variant)
        steps.append((f"failed_read({index})", after))
    by_peers = variant != "learn_only_from_answers"
    if by_peers and any(peer.knows for peer in state.daemons):
        heard = learn(state, index, variant)
        heard = with_daemon(heard, index, ready=True)
        steps.append((f"hear_peer({index})", heard))
    if not daemon.in_flight and daemon != Daemon():
        after = restart(state, index, variant)
        steps.append((f"restart({index})", after))
    return steps


def clock_steps(state: State) -> list[Step]:
    """Lists what happens by time: the list, the clock, the server's end."""
    steps: list[Step] = []
    if not state.listed:
        steps.append(("list_shows", state._replace(listed=True)))
    list_in_time = state.listed or state.time < LIST_LAG
    reads_in_time = all(item.unread < READ_PERIOD for item in state.daemons)
    if list_in_time and reads_in_time and state.time <= BOUND:
        daemons = tuple(
            item._replace(unread=item.unread + 1) for item in state.daemons
        )
        after = state._replace(time=state.time + 1, daemons=daemons)
        steps.append(("tick", after))
    idle = not any(item.in_flight for item in state.daemons)
    if state.time > BOUND and idle and not state.stopped:
        steps.append(("server_stops", state._replace(stopped=True)))
    return steps


def steps_of(variant: str) -> Steps:
    """Makes the step function of a variant."""

    def steps(state: State) -> list[Step]:
        found = clock_steps(state)
        for index in range(len(state.daemons)):
            found += routing_steps(state, index, variant)
            found += learning_steps(state, index, variant)
        return found

    return steps


def nothing_new_after_bound(state: State) -> bool:
    """The server gets no request after the bound."""
    return not state.late


def nothing_cut(state: State) -> bool:
    """No request that runs on the leaving server is cut."""
    return not state.cut


SERVER_DRAIN = Specification(
    name="server_drain",
    bounds={
        "daemons": DAEMONS,
        "list_lag_ticks": LIST_LAG,
        "read_period_ticks": READ_PERIOD,
        "failed_reads_a_daemon": FAILED_READS,
        "bound_ticks": BOUND,
    },
    initial=State(),
    steps=steps_of,
    properties={
        "nothing_new_after_bound": nothing_new_after_bound,
        "nothing_cut": nothing_cut,
    },
    broken=(
        Broken(
            "learn_only_from_answers",
            "nothing_new_after_bound",
            "A daemon without traffic does not learn of the leaving.",
        ),
        Broken(
            "last_read_decides",
            "nothing_new_after_bound",
            "A failed or stale read of the list clears what was known.",
        ),
        Broken(
            "restart_serves_at_once",
            "nothing_new_after_bound",
            "A daemon that has started routes before it has learned.",
        ),
        Broken(
            "close_connections_on_leaving",
            "nothing_cut",
            "Connections are closed when the server begins to leave.",
        ),
    ),
)
