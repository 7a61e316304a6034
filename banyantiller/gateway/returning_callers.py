"""Asks relays whether callers come back after a rejection.

A daemon asks while a request is about to be retried or rejected, so that
messages are sent only in a shortage. See `decisions.returning_callers`.
"""

import asyncio
import collections
import math
from collections.abc import Callable, Iterable

from banyantiller.gateway import rejection_link, rejection_relay, relays
from banyantiller.gateway.decisions import (
    allowances,
    returning_callers,
    service_load,
)

# Requests of a service in this time show how often it rejects them.
OTHERS_S = 2.0
# How long a position among the callers that are expected back is used.
POSITION_S = 1.0


class ReturningCallers:
    """Recognises callers that come back to this daemon after a rejection.

    Attributes:
        links: Links to the other relays by address.
        relay: Rejections that are reported to this daemon.
        outcomes: Rejected requests by what is known of them: "first",
            "returned", "repeated" or "unknown".
        message_results: Messages to relays by result: "answered", "silent" or
            "not_ready".
        returned_percents: Share of rejected callers that come back, by relay.
        positions: Position of the last rejected caller among those that are
            expected back, and its loop time, by service.
        rejected: Requests that were rejected lately, by service.
    """

    def __init__(
        self,
        fleet_relays: relays.Relays,
        load: Callable[[str, float], service_load.ZoneLoad | None],
        request_times: Callable[[str], Iterable[float]],
    ) -> None:
        self.fleet_relays = fleet_relays
        fleet_relays.on_change.append(self._change_relays)
        self.request_times = request_times
        self.loop = asyncio.get_running_loop()
        self.relay = rejection_relay.RejectionRelay(fleet_relays, load)
        self.message_results: collections.Counter[str] = collections.Counter()
        self.links = {
            peer.address: self._link_to(peer.address)
            for peer in fleet_relays.peers
        }
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.returned_percents: dict[str, int | None] = {}
        self.positions: dict[str, tuple[float, float]] = {}
        self.rejected: dict[str, allowances.RequestWindow] = {}

    async def seen_before(
        self, fingerprint: str, service: str = "", limit_s: float = math.inf
    ) -> bool | None:
        """Records a rejection; returns whether the request has precedence.

        The result is None if no relay answered.

        Args:
            fingerprint: Fingerprint of the request.
            service: Service that handles it.
            limit_s: Maximum time to wait for a relay, in seconds.
        """
        self._record_rejected(service)
        digest = _digest(fingerprint)
        address = self._relay_of(digest)
        link = self.links.get(address)
        if link is None:
            fields = self._fields({service: [digest]}, [])
            answer = rejection_link.answer_to(
                self.relay.answer(fields), service, 0
            )
        else:
            pending = link.ask(service, digest)
            timeout_s = max(0.0, min(rejection_link.ASK_TIMEOUT_S, limit_s))
            await asyncio.wait({pending}, timeout=timeout_s)
            answer = pending.result() if pending.done() else None
        return self._decide(address, service, answer)

    def report_served(self, fingerprint: str) -> None:
        """Withdraws the rejection of a request that was served after all."""
        digest = _digest(fingerprint)
        link = self.links.get(self._relay_of(digest))
        if link is None:
            self.relay.table.withdraw(digest)
        else:
            link.report_served(digest)

    def callers_return(self) -> bool:
        """Returns whether at least half of the rejected callers come back.

        It is assumed until a relay knows otherwise. If they don't, first tries
        are the last ones, and none should wait for a returning caller.
        """
        known = [
            one for one in self.returned_percents.values() if one is not None
        ]
        return not known or sum(known) >= 50 * len(known)

    def expected_callers(self, service: str) -> float | None:
        """Returns how many callers of a service are expected back.

        The number includes the caller that was rejected last. It is None if the
        relay did not tell it just now.
        """
        position, at = self.positions.get(service, (0.0, -math.inf))
        if self.loop.time() - at > POSITION_S:
            return None
        # The callers are spread evenly over the relays.
        return position * self.relay.count_relays()

    def expire(self, now: float) -> None:
        """Drops outdated state."""
        self.relay.table.expire(now)
        for service, window in list(self.rejected.items()):
            window.expire(now)
            if not window.count:
                del self.rejected[service]
        self.positions = {
            service: found
            for service, found in self.positions.items()
            if now - found[1] <= POSITION_S
        }

    async def close(self) -> None:
        """Closes all connections."""
        for link in self.links.values():
            await link.close()

    def _relay_of(self, digest: bytes) -> str:
        addresses = self.fleet_relays.addresses
        if not addresses:
            return self.fleet_relays.own_address
        return returning_callers.choose_relay(digest, addresses)

    def _link_to(self, address: str) -> rejection_link.RelayLink:
        return rejection_link.RelayLink(
            address, self._fields, self.message_results
        )

    def _change_relays(self, change: relays.RelayChange) -> None:
        for address in change.removed:
            self.returned_percents.pop(address, None)
        removed = self.links
        self.links = {
            peer.address: removed.pop(peer.address, None)
            or self._link_to(peer.address)
            for peer in self.fleet_relays.peers
        }
        for link in removed.values():
            link.begin_close()

    def _decide(
        self, address: str, service: str, answer: rejection_link.Answer | None
    ) -> bool | None:
        if answer is None:
            self.outcomes["unknown"] += 1
            self.returned_percents.pop(address, None)
            self.positions.pop(service, None)
            return None
        self.returned_percents[address] = answer.returned_percent
        if answer.position is None:
            self.positions.pop(service, None)
        else:
            self.positions[service] = (answer.position, self.loop.time())
        if returning_callers.has_precedence(answer.earlier):
            self.outcomes["returned"] += 1
            return True
        self.outcomes["repeated" if answer.earlier else "first"] += 1
        return False

    def _record_rejected(self, service: str) -> None:
        window = self.rejected.get(service)
        if window is None:
            window = allowances.RequestWindow(OTHERS_S)
            self.rejected[service] = window
        window.add(self.loop.time())

    def _fields(
        self, digests: dict[str, list[bytes]], served: list[bytes]
    ) -> rejection_relay.AskFields:
        return rejection_relay.AskFields(
            rejected={
                service: self._rejected_fields(service, found)
                for service, found in digests.items()
            },
            served=served,
        )

    def _rejected_fields(
        self, service: str, digests: list[bytes]
    ) -> rejection_relay.RejectedFields:
        now = self.loop.time()
        oldest = now - OTHERS_S
        count = sum(1 for time in self.request_times(service) if time > oldest)
        rejected = 0
        window = self.rejected.get(service)
        if window is not None:
            window.expire(now)
            rejected = window.count
        return rejection_relay.RejectedFields(
            digests=digests,
            others=max(0, count - len(digests)),
            others_rejected=max(0, rejected - len(digests)),
        )


def _digest(fingerprint: str) -> bytes:
    return bytes.fromhex(fingerprint)[: rejection_relay.FINGERPRINT_BYTES]
