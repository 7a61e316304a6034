"""What every command is given: settings, keys, object API and clock."""

import asyncio
import contextlib
import contextvars
import os
import stat
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any, NamedTuple

from banyantiller import exceptions, plugins
from banyantiller.bundle import operators, signing
from banyantiller.config import documents, settings
from banyantiller.config.defaults import ObjectApiSettings, OperatorSettings
from banyantiller.evidence import audit
from banyantiller.store.interface import ObjectStore

DEFAULT_SETTINGS = "operator.yaml"


def connect(options: ObjectApiSettings, deployment: str) -> ObjectStore:
    """Builds the adapter of the object API that the settings name."""
    registry = plugins.Registry.from_entry_points()
    factory = registry.get("object_api", options.adapter)
    return factory(options, deployment)


class Surroundings(NamedTuple):
    """What a command gets from outside, so that tests can replace it.

    Attributes:
        connect: Builds the adapter of the object API.
        wall: Returns wall-clock seconds.
        run: Runs a coroutine on an event loop.
    """

    connect: Callable[[ObjectApiSettings, str], ObjectStore] = connect
    wall: Callable[[], float] = time.time
    run: Callable[[Coroutine[Any, Any, Any]], Any] = asyncio.run


SURROUNDINGS: contextvars.ContextVar[Surroundings | None] = (
    contextvars.ContextVar("surroundings", default=None)
)


class Session(NamedTuple):
    """One command's view of the fleet.

    Attributes:
        settings: Settings of the operator.
        store: The object API.
        wall: Returns wall-clock seconds.
    """

    settings: OperatorSettings
    store: ObjectStore
    wall: Callable[[], float]

    @property
    def deployment(self) -> str:
        """Returns the fleet that the settings name."""
        return self.settings.deployment

    def operator(self) -> operators.Operator:
        """Returns the operator with the private key and the audit trail.

        Raises:
            ConfigError: The key file is missing, open to others or wrong.
        """
        private = read_key(self.settings.key_file)

        async def record(action: str, detail: dict[str, Any]) -> str:
            outcome = await audit.append(
                self.store,
                self.deployment,
                action,
                self.settings.operator,
                detail,
                self.wall,
            )
            return getattr(outcome, "reason", "")

        return operators.Operator(
            self.settings.operator,
            private,
            self.settings.trusted_keys,
            record,
            self.wall,
        )


def run(path: str, body: Callable[[Session], Awaitable[int]]) -> int:
    """Runs the body of a command with a connection to the object API.

    Args:
        path: Settings file of the operator.
        body: Takes the session and returns the exit status.
    """
    options = settings.load_operator(path)
    surroundings = SURROUNDINGS.get() or Surroundings()

    async def main() -> int:
        async with _session(options, surroundings) as session:
            return await body(session)

    return surroundings.run(main())


@contextlib.asynccontextmanager
async def _session(
    options: OperatorSettings, surroundings: Surroundings
) -> AsyncIterator[Session]:
    store = surroundings.connect(options.object_api, options.deployment)
    try:
        yield Session(options, store, surroundings.wall)
    finally:
        await store.close()


def read_key(path: str) -> str:
    """Reads a private key file, which only its owner may read.

    Raises:
        ConfigError: The file is missing, open to others or not a key.
    """
    if not path:
        raise exceptions.ConfigError("The settings name no 'key_file'.")
    text = documents.read_file(path).strip()
    if os.stat(path).st_mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise exceptions.ConfigError(
            f"Others may read '{path}'; set its mode to 0600."
        )
    try:
        signing.KeyPair.from_private(text)
    except ValueError as error:
        raise exceptions.ConfigError(
            f"'{path}' is not a private key of 64 hex digits."
        ) from error
    return text
