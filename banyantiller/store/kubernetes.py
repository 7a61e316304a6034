"""Adapter of an object API that serves Kubernetes custom objects by REST."""

import asyncio
import collections
from collections.abc import AsyncIterator
from typing import Any

import structlog

from banyantiller.config import defaults
from banyantiller.http import client, connection, messages, outcomes
from banyantiller.store import interface, responses, wire
from banyantiller.utils import tls

log = structlog.get_logger("banyantiller.store")

PAGE_ITEMS = 200
MAX_LIST_ATTEMPTS = 3
MAX_LINE_BYTES = 2 * interface.MAX_VALUE_BYTES
JSON_HEADERS = (wire.JSON_TYPE,)
LIMITS = messages.Limits(body_bytes=8 * interface.MAX_VALUE_BYTES)


class ListExpiredError(Exception):
    """The continuation token of a paged list has expired."""


class KubernetesStore:
    """An `ObjectStore` over HTTP.

    Attributes:
        calls: Requests by verb; an open watch counts as one.
        timeout_s: Timeout of one request.
        bookmark_s: Timeout of a watch that delivers nothing.
    """

    def __init__(
        self,
        http_client: client.HttpClient,
        paths: wire.Paths,
        timeout_s: float,
        bookmark_s: float,
    ) -> None:
        self.http_client = http_client
        self.paths = paths
        self.timeout_s = timeout_s
        self.bookmark_s = bookmark_s
        self.calls: collections.Counter[str] = collections.Counter()

    @classmethod
    def from_settings(
        cls, object_api: defaults.ObjectApiSettings, deployment: str
    ) -> "KubernetesStore":
        """Builds the adapter; it connects on the first call.

        Args:
            object_api: Settings of the object API.
            deployment: Name of the fleet, which is also its namespace.

        Raises:
            ConfigError: A TLS file is missing or not valid.
        """
        files = object_api.tls
        http_client = client.HttpClient(
            object_api.endpoint.address,
            object_api.endpoint.port,
            LIMITS,
            tls.client_context(files),
            files.server_name if files else "",
        )
        paths = wire.Paths(object_api.group, deployment)
        return cls(
            http_client, paths, object_api.timeout_s, object_api.bookmark_s
        )

    async def get(self, kind: str, name: str) -> interface.GetOutcome:
        """Reads one object."""
        outcome = await self._read("get", self.paths.item(kind, name))
        return responses.decode_read(kind, outcome)

    async def list(
        self, kind: str, labels: dict[str, str] | None = None
    ) -> interface.ListOutcome:
        """Reads all objects of a kind that carry the given labels.

        A list whose pages expire while they are read is started again.
        """
        for _ in range(MAX_LIST_ATTEMPTS):
            try:
                return await self._list_pages(kind, labels or {})
            except ListExpiredError:
                continue
        return interface.Unavailable("the list expired while it was read")

    async def create(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        labels: dict[str, str] | None = None,
    ) -> interface.CreateOutcome:
        """Writes an object that must not exist yet."""
        item = interface.StoredObject(kind, name, "", value, labels or {})
        outcome = await self._write(
            "create", "POST", self.paths.collection(kind), item
        )
        return responses.decode_write(item, outcome, "create")

    async def update(
        self, item: interface.StoredObject, value: dict[str, Any]
    ) -> interface.UpdateOutcome:
        """Replaces the value if the object still has `item.version`."""
        target = self.paths.item(item.kind, item.name)
        changed = item._replace(value=value)
        outcome = await self._write("update", "PUT", target, changed)
        return responses.decode_write(changed, outcome, "update")

    async def delete(
        self, item: interface.StoredObject
    ) -> interface.DeleteOutcome:
        """Deletes the object if it still has `item.version`."""
        target = self.paths.item(item.kind, item.name)
        options = wire.encode_delete(item.version)
        outcome = await self._send("delete", "DELETE", target, options)
        return responses.decode_write(item, outcome, "delete")

    async def watch(
        self, kind: str, version: str
    ) -> AsyncIterator[interface.WatchEvent]:
        """Yields changes after `version`; see `ObjectStore.watch`."""
        self.calls["watch"] += 1
        target = self.paths.collection(
            kind,
            watch="1",
            resourceVersion=version,
            allowWatchBookmarks="true",
        )
        stream = await self.http_client.stream("GET", target, self.timeout_s)
        if not isinstance(stream, client.Stream):
            yield interface.Unavailable(stream.reason)
            return
        try:
            async for event in self._events(kind, stream):
                yield event
        finally:
            stream.close()

    async def close(self) -> None:
        """Closes all idle connections."""
        await self.http_client.close()

    async def _events(
        self, kind: str, stream: client.Stream
    ) -> AsyncIterator[interface.WatchEvent]:
        """Yields the events of an open watch, then the reason why it ended."""
        if stream.response.status == 410:
            yield interface.Gone()
            return
        if stream.response.status != 200:
            yield interface.Unavailable(f"status {stream.response.status}")
            return
        try:
            async for line in self._lines(stream):
                event = wire.decode_event(kind, line)
                yield event
                if isinstance(event, interface.Gone | interface.Unavailable):
                    return
        except (wire.WireError, connection.ConnectionLostError) as error:
            yield interface.Unavailable(str(error))
        except TimeoutError:
            log.info("store: watch timed out without an event.", kind=kind)
            yield interface.Unavailable(f"no event for {self.bookmark_s:g} s")
        else:
            yield interface.Unavailable(
                "the watch was closed by the object API"
            )

    async def _lines(self, stream: client.Stream) -> AsyncIterator[bytes]:
        """Splits the body into lines.

        Raises:
            TimeoutError: Nothing was received within `bookmark_s`.
            WireError: A line is too long.
            ConnectionLostError: The connection failed.
        """
        rest = bytearray()
        while True:
            async with asyncio.timeout(self.bookmark_s):
                data = await stream.read()
            if not data:
                return
            rest += data
            if b"\n" in data:
                *lines, tail = bytes(rest).split(b"\n")
                rest = bytearray(tail)
                for line in filter(None, lines):
                    yield line
            if len(rest) > MAX_LINE_BYTES:
                raise wire.WireError("a line of the watch is too long")

    async def _list_pages(
        self, kind: str, labels: dict[str, str]
    ) -> interface.ListOutcome:
        query = {"limit": str(PAGE_ITEMS)}
        if labels:
            pairs = sorted(labels.items())
            query["labelSelector"] = ",".join(f"{k}={v}" for k, v in pairs)
        items: list[interface.StoredObject] = []
        while True:
            target = self.paths.collection(kind, **query)
            outcome = await self._read("list", target)
            if _is_too_large(outcome) and query["limit"] != "1":
                query["limit"] = str(int(query["limit"]) // 2)
                continue
            if not isinstance(outcome, outcomes.Answered):
                return interface.Unavailable(outcome.reason)
            if outcome.response.status == 410 and "continue" in query:
                raise ListExpiredError
            if outcome.response.status != 200:
                return interface.Unavailable(
                    responses.describe_refusal(outcome)
                )
            try:
                page, metadata = wire.decode_list(kind, outcome.body)
            except wire.WireError as error:
                return interface.Unavailable(str(error))
            items.extend(page)
            if not metadata.next_page:
                return interface.Listed(tuple(items), metadata.resourceVersion)
            query["continue"] = metadata.next_page

    async def _read(self, verb: str, target: str) -> outcomes.Outcome:
        """Sends a read, and retries it once if a reused connection broke."""
        self.calls[verb] += 1
        outcome = await self.http_client.request("GET", target, self.timeout_s)
        if _is_stale_connection(outcome):
            self.calls[verb] += 1
            outcome = await self.http_client.request(
                "GET", target, self.timeout_s, fresh=True
            )
        return outcome

    async def _write(
        self,
        verb: str,
        method: str,
        target: str,
        item: interface.StoredObject,
    ) -> outcomes.Outcome:
        if len(wire.encode(item.value)) > interface.MAX_VALUE_BYTES:
            return outcomes.NotSent(
                f"the value is over {interface.MAX_VALUE_BYTES} bytes"
            )
        body = wire.encode_object(self.paths.api_version, item)
        return await self._send(verb, method, target, body)

    async def _send(
        self, verb: str, method: str, target: str, body: bytes
    ) -> outcomes.Outcome:
        self.calls[verb] += 1
        return await self.http_client.request(
            method, target, self.timeout_s, JSON_HEADERS, body
        )


def _is_too_large(outcome: outcomes.Outcome) -> bool:
    return isinstance(outcome, outcomes.Lost) and outcome.too_large


def _is_stale_connection(outcome: outcomes.Outcome) -> bool:
    return (
        isinstance(outcome, outcomes.Lost)
        and outcome.reused
        and not outcome.too_large
    )
