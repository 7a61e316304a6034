"""Replays a trace of offered bundles against real replicas."""

import hashlib
from typing import Any, NamedTuple

from banyantiller.bundle import canonical, manifest, options, signing
from banyantiller.config import defaults
from banyantiller.replay import dispatcher_inputs, traces
from banyantiller.replay.replica_inputs import (
    FLEET,
    INPUTS,
    KINDS,
    Advance,
    Given,
    Header,
    Offer,
    Part,
    Parts,
    Restart,
    to_bytes,
)
from banyantiller.replica import state as replicas

WALL = 1_000_000_000.0
PROPOSER = "proposer"
SIGNER = "signer"
STRANGER = "stranger"


class InForce(NamedTuple):
    """A bundle that was put in force.

    Attributes:
        daemon: The daemon.
        life: Number of the daemon's run, from 1.
        version: Version of the bundle.
        digest: Hex SHA-256 of its manifest.
    """

    daemon: str
    life: int
    version: int
    digest: str


class ReplicaLog:
    """What happened.

    Attributes:
        lives: Versions put in force by each daemon, one list a run of it.
        refused: Daemon and version of each refused offer.
        wrong: Bundles in force that were never accepted.
        is_recording: Whether the bundles are those of a real fleet.
        in_force: What was put in force, in order.
        recorded: What a recording says was put in force.
    """

    def __init__(
        self, daemons: tuple[str, ...], is_recording: bool = False
    ) -> None:
        self.is_recording = is_recording
        self.in_force: list[InForce] = []
        self.recorded: list[InForce] = []
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
        if log.is_recording:
            return "a recording does not tell what was accepted"
        return f"held: {log.wrong}" if log.wrong else ""


class Refused(NamedTuple):
    """A daemon refuses an offer of a version."""

    daemon: str
    version: int

    def problem(self, log: ReplicaLog) -> str:
        """Returns what is otherwise."""
        refused = (self.daemon, self.version) in log.refused
        return "" if refused else "it was not refused"


class SameInForce(NamedTuple):
    """The bundles of the recording are put in force, in its order."""

    def problem(self, log: ReplicaLog) -> str:
        """Returns what is otherwise."""
        if log.in_force == log.recorded:
            return ""
        return f"in force: {log.in_force}, recorded: {log.recorded}"


EXPECTATIONS: dict[str, type] = {
    "holds": Holds,
    "never_goes_down": NeverGoesDown,
    "holds_only_accepted": HoldsOnlyAccepted,
    "refused": Refused,
    "same_in_force": SameInForce,
}


class Made(NamedTuple):
    """A bundle with its parts' canonical JSON."""

    accepted: manifest.AcceptedBundle
    parts: tuple[bytes, ...]


class ReplicaPlayer:
    """One replay.

    Attributes:
        log: What happened so far.
        replicas: The replica of each daemon by name.
    """

    def __init__(self, header: Header) -> None:
        self.log = ReplicaLog(header.daemons, bool(header.trusted))
        self.deployment = header.deployment
        keys = {name: _key(name).public for name in (PROPOSER, SIGNER)}
        self.trusted = header.trusted or tuple(
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
            case Given(daemon, text, _, wall):
                accepted = canonical.decode_accepted(to_bytes(text))
                self._judge(daemon, accepted, wall)
            case Part(daemon, text, spare):
                self.replicas[daemon].add_part(to_bytes(text), spare)
            case Advance(daemon, floor, version, digest):
                self._advance(daemon, floor)
                if version:
                    life = len(self.log.lives[daemon])
                    held = InForce(daemon, life, version, digest)
                    self.log.recorded.append(held)

    def _fresh(self) -> replicas.Replica:
        return replicas.Replica(self.trusted, self.deployment)

    def _offer(self, daemon: str, version: int, kind: str) -> None:
        self._judge(daemon, make(version, kind).accepted, WALL)
        self._advance(daemon)

    def _judge(
        self, daemon: str, accepted: manifest.AcceptedBundle, wall: float
    ) -> None:
        verdict = self.replicas[daemon].offer(accepted, wall)
        if isinstance(verdict, replicas.Refuse):
            self.log.refused.add((daemon, accepted.manifest.version))

    def _add_parts(self, daemon: str, made: Made) -> None:
        for data in made.parts:
            self.replicas[daemon].add_part(data)
        self._advance(daemon)

    def _advance(self, daemon: str, floor: int = 0) -> None:
        held = self.replicas[daemon].advance(floor)
        if not isinstance(held, replicas.InForceBundle):
            return
        lives = self.log.lives[daemon]
        lives[-1].append(held.version)
        self.log.in_force.append(
            InForce(daemon, len(lives), held.version, held.digest)
        )
        if self.log.is_recording:
            return
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
    accepted = manifest.AcceptedBundle(
        stated, signatures, WALL + version, SIGNER
    )
    return Made(accepted, data)


def play(trace: traces.Trace) -> tuple[traces.Result, ...]:
    """Replays a trace and checks its stated outcomes.

    Raises:
        TraceError: The trace is not valid.
    """
    header = traces.from_fields(trace.header, Header, "Line 1")
    inputs = traces.typed_lines(trace.inputs, INPUTS)
    for line, item in inputs:
        if isinstance(item, dispatcher_inputs.Truncated):
            continue
        if item.daemon not in header.daemons:
            raise traces.TraceError(
                f"Line {line.number}: '{item.daemon}' is not a daemon."
            )
        if isinstance(item, Offer) and item.kind not in KINDS:
            raise traces.TraceError(
                f"Line {line.number}: 'kind' is not one of {', '.join(KINDS)}."
            )
    player = ReplicaPlayer(header)
    for line, item in inputs:
        try:
            player.take(item)
        except (canonical.CanonicalError, UnicodeEncodeError) as error:
            raise traces.TraceError(f"Line {line.number}: {error}.") from error
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
