"""Replays a trace of offered bundles against real replicas."""

import hashlib
from typing import Any, NamedTuple

from banyantiller.bundle import canonical, manifest, options, signing
from banyantiller.config import defaults
from banyantiller.replay import traces
from banyantiller.replica import state as replicas

FLEET = "fleet"
WALL = 1_000_000_000.0
PROPOSER = "proposer"
SIGNER = "signer"
STRANGER = "stranger"
KINDS = ("accepted", "unsigned", "self_signed", "stranger", "altered", "fork")


class Header(NamedTuple):
    """Fields of the header.

    Attributes:
        trace: Version of the format.
        core: "replica".
        daemons: Names of the daemons.
        about: What the trace shows.
    """

    trace: int
    core: str
    daemons: tuple[str, ...]
    about: str = ""


class Offer(NamedTuple):
    """A daemon gets a bundle from the store or a peer.

    Attributes:
        daemon: The daemon.
        version: Version that the bundle claims.
        kind: "accepted", or what is wrong with it: "unsigned",
            "self_signed", "stranger" (signed by an unknown key), "altered"
            after signing, or "fork" (signed, but another content).
        parts: Whether its parts arrive with it.
    """

    daemon: str
    version: int
    kind: str = "accepted"
    parts: bool = True


class Parts(NamedTuple):
    """The parts of a bundle arrive at a daemon."""

    daemon: str
    version: int


class Restart(NamedTuple):
    """A daemon is replaced by one that knows nothing."""

    daemon: str


INPUTS: dict[str, type] = {"offer": Offer, "parts": Parts, "restart": Restart}


class ReplicaLog:
    """What happened.

    Attributes:
        lives: Versions put in force by each daemon, one list a run of it.
        refused: Daemon and version of each refused offer.
        wrong: Bundles in force that were never accepted.
    """

    def __init__(self, daemons: tuple[str, ...]) -> None:
        self.lives: dict[str, list[list[int]]] = {d: [[]] for d in daemons}
        self.refused: set[tuple[str, int]] = set()
        self.wrong: list[tuple[str, int]] = []


class Holds(NamedTuple):
    """A daemon holds a version in the end, 0 for none."""

    daemon: str
    version: int

    def problem(self, log: ReplicaLog) -> str:
        """Returns what is otherwise."""
        life = log.lives[self.daemon][-1]
        held = life[-1] if life else 0
        return "" if held == self.version else f"it holds {held}"


class NeverGoesDown(NamedTuple):
    """No running daemon replaces a bundle by an older one."""

    def problem(self, log: ReplicaLog) -> str:
        """Returns what is otherwise."""
        for daemon, lives in log.lives.items():
            for life in lives:
                if life != sorted(set(life)):
                    return f"{daemon} held {life}"
        return ""


class HoldsOnlyAccepted(NamedTuple):
    """No daemon ever holds what was not accepted."""

    def problem(self, log: ReplicaLog) -> str:
        """Returns what is otherwise."""
        return f"held: {log.wrong}" if log.wrong else ""


class Refused(NamedTuple):
    """A daemon refuses an offer of a version."""

    daemon: str
    version: int

    def problem(self, log: ReplicaLog) -> str:
        """Returns what is otherwise."""
        refused = (self.daemon, self.version) in log.refused
        return "" if refused else "it was not refused"


EXPECTATIONS: dict[str, type] = {
    "holds": Holds,
    "never_goes_down": NeverGoesDown,
    "holds_only_accepted": HoldsOnlyAccepted,
    "refused": Refused,
}


class Made(NamedTuple):
    """A bundle with its parts' canonical JSON."""

    accepted: manifest.Accepted
    parts: tuple[bytes, ...]


class ReplicaPlayer:
    """One replay.

    Attributes:
        log: What happened so far.
        replicas: The replica of each daemon by name.
    """

    def __init__(self, header: Header) -> None:
        self.log = ReplicaLog(header.daemons)
        keys = {name: _key(name).public for name in (PROPOSER, SIGNER)}
        self.trusted = tuple(
            defaults.TrustedKey(name, public) for name, public in keys.items()
        )
        self.replicas = {name: self._fresh() for name in header.daemons}

    def take(self, item: Any) -> None:
        """Takes an input."""
        match item:
            case Offer(daemon, version, kind, parts):
                self._offer(daemon, version, kind)
                if parts:
                    self._add_parts(daemon, make(version, kind))
            case Parts(daemon, version):
                self._add_parts(daemon, make(version, "accepted"))
            case Restart(daemon):
                self.replicas[daemon] = self._fresh()
                self.log.lives[daemon].append([])

    def _fresh(self) -> replicas.Replica:
        return replicas.Replica(self.trusted, FLEET)

    def _offer(self, daemon: str, version: int, kind: str) -> None:
        accepted = make(version, kind).accepted
        verdict = self.replicas[daemon].offer(accepted, WALL)
        if isinstance(verdict, replicas.Refuse):
            self.log.refused.add((daemon, version))
        self._advance(daemon)

    def _add_parts(self, daemon: str, made: Made) -> None:
        for data in made.parts:
            self.replicas[daemon].add_part(data)
        self._advance(daemon)

    def _advance(self, daemon: str) -> None:
        held = self.replicas[daemon].advance()
        if not isinstance(held, replicas.Held):
            return
        self.log.lives[daemon][-1].append(held.version)
        accepted = make(held.version, "accepted").accepted
        if held.accepted.manifest != accepted.manifest:
            self.log.wrong.append((daemon, held.version))


def make(version: int, kind: str) -> Made:
    """Builds a bundle; all accepted ones form one chain of parents."""
    content = "fork" if kind == "fork" else "main"
    service = options.Service(
        "service",
        (options.BackendServer("server-1", "127.0.0.1", 9000 + version),),
        path=f"/{content}",
    )
    parts = canonical.split(options.Bundle((service,)))
    stated = manifest.Manifest(
        deployment=FLEET,
        version=version,
        parent=_parent(version),
        proposer=PROPOSER,
        description=content,
        parts=tuple(part for part, _ in parts.values()),
    )
    data = tuple(data for _, data in parts.values())
    signatures = _signatures(stated, kind)
    if kind == "altered":
        stated = stated._replace(description="altered")
    accepted = manifest.Accepted(stated, signatures, WALL + version, SIGNER)
    return Made(accepted, data)


def play(trace: traces.Trace) -> tuple[traces.Result, ...]:
    """Replays a trace and checks its stated outcomes.

    Raises:
        TraceError: The trace is not valid.
    """
    header = traces.from_fields(trace.header, Header, "Line 1")
    inputs = traces.typed_lines(trace.inputs, INPUTS)
    for line, item in inputs:
        if item.daemon not in header.daemons:
            raise traces.TraceError(
                f"Line {line.number}: '{item.daemon}' is not a daemon."
            )
        if isinstance(item, Offer) and item.kind not in KINDS:
            raise traces.TraceError(
                f"Line {line.number}: 'kind' is not one of {', '.join(KINDS)}."
            )
    player = ReplicaPlayer(header)
    for _, item in inputs:
        player.take(item)
    try:
        return traces.check(trace, EXPECTATIONS, player.log)
    except KeyError as error:
        raise traces.TraceError(f"{error} is not a daemon.") from error


def _parent(version: int) -> str:
    if version <= 1:
        return ""
    parent = make(version - 1, "accepted").accepted.manifest
    return canonical.manifest_digest(parent)


def _signatures(
    stated: manifest.Manifest, kind: str
) -> tuple[manifest.Signature, ...]:
    proposed = _sign(PROPOSER, signing.PROPOSE, stated)
    if kind == "unsigned":
        return (proposed,)
    signers = {"self_signed": PROPOSER, "stranger": STRANGER}
    signer = signers.get(kind, SIGNER)
    return proposed, _sign(signer, signing.SIGN, stated)


def _sign(
    operator: str, role: str, stated: manifest.Manifest
) -> manifest.Signature:
    return signing.sign(_key(operator).private, operator, role, stated)


def _key(name: str) -> signing.KeyPair:
    private = hashlib.sha256(f"replay {name}".encode()).hexdigest()
    return signing.KeyPair.from_private(private)
