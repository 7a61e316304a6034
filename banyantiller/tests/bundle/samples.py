"""Operators, keys and bundles for tests."""

from typing import Any

from banyantiller.bundle import (
    acceptance,
    approval,
    operators,
    parsing,
    proposals,
    signing,
)
from banyantiller.bundle.options import Bundle
from banyantiller.config.defaults import TrustedKey
from banyantiller.store.memory import MemoryStore

DEPLOYMENT = "orders"
NOW = 1_800_000_000.0
KEYS = {
    name: signing.KeyPair.from_private(f"{number:064x}")
    for number, name in enumerate(("ana", "ben", "cy"), start=1)
}
TRUSTED = tuple(TrustedKey(name, pair.public) for name, pair in KEYS.items())

BUNDLE = """\
description: First.
services:
  - name: desk
    path: /orders
    servers:
      - {name: desk-1, address: 127.0.0.1, port: 9001, zone: zone-1}
      - {name: desk-2, address: 127.0.0.1, port: 9002, zone: zone-2}
    requests:
      - {idempotent: true, methods: [GET, HEAD]}
  - name: archive
    path: /archive
    servers:
      - {name: archive-1, address: 127.0.0.1, port: 9003}
    requests:
      - {idempotent: true, methods: [GET]}
"""


class AuditTrail:
    """An audit trail in memory that can be made to fail."""

    def __init__(self) -> None:
        self.entries: list[tuple[str, dict[str, Any]]] = []
        self.failure = ""

    async def record(self, action: str, detail: dict[str, Any]) -> str:
        if not self.failure:
            self.entries.append((action, detail))
        return self.failure


def bundle(text: str = BUNDLE) -> Bundle:
    return parsing.parse(text, "b.yaml").bundle


def operator(name: str, trail: AuditTrail | None = None) -> operators.Operator:
    audit = (trail or AuditTrail()).record
    return operators.Operator(
        name, KEYS[name].private, TRUSTED, audit, lambda: NOW
    )


async def prepare(
    store: MemoryStore, text: str, proposer: str = "ana", floor: int = 0
) -> str:
    """Proposes and signs a bundle; returns its digest."""
    proposed = await proposals.propose(
        store, DEPLOYMENT, bundle(text), operator(proposer), floor
    )
    signer = "ben" if proposer != "ben" else "cy"
    await approval.sign(store, DEPLOYMENT, proposed.digest, operator(signer))
    return proposed.digest


async def roll(store: MemoryStore, digest: str, name: str = "ana"):
    return await acceptance.roll(store, DEPLOYMENT, digest, operator(name))
