"""Factories of settings, events and daemon parts for the tests."""

import asyncio
from typing import Any

from banyantiller.config import defaults
from banyantiller.evidence import recorder, writer
from banyantiller.kernel import core, events
from banyantiller.store import memory, table

EPOCH = 1_700_000_010.0
FLEET = "fleet"


def settings(daemon: str = "b1", **evidence: Any) -> defaults.Settings:
    """Builds settings; the default summary period is 10 s."""
    endpoint = defaults.Endpoint("127.0.0.1", 0)
    return defaults.Settings(
        deployment=FLEET,
        daemon=daemon,
        zone="zone-c",
        callers=defaults.CallerSettings(endpoint),
        admin=endpoint,
        peers=defaults.PeerSettings(endpoint),
        object_api=defaults.ObjectApiSettings(endpoint),
        evidence=defaults.EvidenceSettings(**{"period_s": 10.0, **evidence}),
    )


def call(request_id: str = "r1", **changes: Any) -> events.CallFinished:
    """Builds a successful idempotent call with the given changes."""
    successful = events.CallFinished(
        request_id=request_id,
        service="registry",
        idempotent=True,
        key="",
        server="s1",
        status=200,
        error=None,
        attempts=1,
        cut=False,
        duration_s=0.01,
        bundle=1,
    )
    return successful._replace(**changes)


class DaemonParts:
    """Kernel, recorder and writer of one daemon over a shared table."""

    def __init__(
        self,
        objects: table.ObjectTable,
        daemon: str = "b1",
        clock_offset_s: float = 0.0,
        seed: int = 7,
        **evidence: Any,
    ) -> None:
        self.offset_s = clock_offset_s
        self.settings = settings(daemon, **evidence)
        self.kernel = core.Kernel(seed)
        self.store = memory.MemoryStore(objects)
        self.recorder = recorder.Recorder.from_settings(
            self.settings, self.kernel, self.wall
        )
        self.writer = writer.Writer.from_settings(
            self.settings, self.store, self.recorder, self.wall, seed
        )

    def wall(self) -> float:
        """Returns this daemon's wall-clock time, from the loop's clock."""
        return EPOCH + asyncio.get_running_loop().time() + self.offset_s

    def start(self) -> None:
        """Starts the writer's task."""
        self.kernel.start("evidence", self.writer.run)

    async def shut_down(self) -> None:
        """Shuts down gracefully."""
        await self.kernel.stop()
        await self.writer.finish()

    async def crash(self) -> None:
        """Stops without writing the final summary."""
        await self.kernel.stop()

    def bundle(self, version: int, accepted_at: float) -> None:
        """Puts a bundle in force now."""
        self.kernel.emit(
            events.BundleInForce(
                version, "d" * 64, accepted_at, self.wall(), "watch"
            )
        )
