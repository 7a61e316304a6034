"""`banyantiller roll`: makes a signed proposal the accepted bundle."""

import asyncio
from typing import Any

from banyantiller import exceptions
from banyantiller.bundle import acceptance
from banyantiller.bundle.outcomes import Rolled
from banyantiller.commands import (
    context,
    failures,
    output,
    references,
    statuses,
)

POLL_S = 0.5


def roll(
    digest: str,
    *,
    wait: bool = False,
    timeout_s: float = 60.0,
    daemons: int = 1,
    settings: str = context.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Makes a signed proposal the accepted bundle.

    Run it again if the outcome is not known: a bundle that was accepted is
    found as such.

    Args:
        digest: Digest of the proposal, or its start.
        wait: Wait until every daemon has it in force, and show progress.
        timeout_s: Longest wait in seconds.
        daemons: Least number of daemons to wait for.
        settings: Settings file of the operator.
        json: Print JSON for programs.
    """

    async def body(session: context.Session) -> int:
        proposal = await references.find_proposal(session, digest)
        outcome = await acceptance.roll(
            session.store,
            session.deployment,
            proposal.digest,
            session.operator(),
        )
        rolled = failures.expect(outcome, Rolled)
        version = rolled.accepted.manifest.version
        found: tuple[statuses.DaemonStatus, ...] = ()
        if wait:
            output.progress(json, f"Accepted version {version}.")
            waiting = _Wait(session, version, timeout_s, daemons, json)
            found = await waiting.run()
        output.emit(json, _data(rolled, found), _lines(rolled))
        return 0

    return context.run(settings, body)


def _lines(rolled: Rolled) -> list[str]:
    version = rolled.accepted.manifest.version
    line = f"Rolled version {version}: {rolled.digest}"
    return [line, rolled.note] if rolled.note else [line]


def _data(
    rolled: Rolled, found: tuple[statuses.DaemonStatus, ...]
) -> dict[str, Any]:
    return {
        "digest": rolled.digest,
        "version": rolled.accepted.manifest.version,
        "note": rolled.note,
        "daemons": [item._asdict() for item in found],
    }


class _Wait:
    """Waits until a version is in force in every daemon that speaks."""

    def __init__(
        self,
        session: context.Session,
        version: int,
        timeout_s: float,
        daemons: int,
        as_json: bool,
    ) -> None:
        self.session = session
        self.version = version
        self.timeout_s = timeout_s
        self.daemons = daemons
        self.as_json = as_json
        self.shown: set[str] = set()

    async def run(self) -> tuple[statuses.DaemonStatus, ...]:
        """Polls the daemons' statuses.

        Raises:
            RollTimeoutError: The time was over before.
        """
        loop = asyncio.get_running_loop()
        ends = loop.time() + self.timeout_s
        missing = "no daemon has told its status"
        while loop.time() < ends:
            try:
                found = await statuses.read(self.session)
            except exceptions.StoreError as error:
                missing = str(error)
            else:
                missing = self._missing(found)
                if not missing:
                    return found
            await asyncio.sleep(POLL_S)
        raise exceptions.RollTimeoutError(
            f"Version {self.version} is accepted, but after"
            f" {self.timeout_s:g} s it is not in force everywhere: {missing}."
        )

    def _missing(self, found: tuple[statuses.DaemonStatus, ...]) -> str:
        speaking = statuses.speaking(found, self.session.wall())
        ready = [item for item in speaking if item.bundle >= self.version]
        for item in ready:
            self._show(item, f"{len(ready)}/{len(speaking)}")
        behind = [item.daemon for item in speaking if item not in ready]
        if behind:
            return f"behind are {', '.join(behind)}"
        if len(ready) < self.daemons:
            return f"{len(ready)} of {self.daemons} daemons have it"
        return ""

    def _show(self, item: statuses.DaemonStatus, count: str) -> None:
        if item.daemon in self.shown:
            return
        self.shown.add(item.daemon)
        line = f"{count} {item.daemon} ({item.zone}): version {item.bundle}"
        output.progress(self.as_json, line)
