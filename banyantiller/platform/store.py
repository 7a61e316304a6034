"""Reads the platform's store by paged lists and long polls."""

import collections
import types
from collections.abc import Callable, Mapping
from typing import Any
from urllib import parse

from banyantiller.http import client, messages, outcomes
from banyantiller.platform import responses
from banyantiller.store import interface, versions

NO_FILTERS: Mapping[str, Callable[[Any], Any]] = types.MappingProxyType({})
# The store responds within milliseconds, in the slowest case within 0.4 s. A
# call that exceeds the requested wait by this timeout has failed. Together with
# the pause between calls, it bounds the delay until a recovery is noticed.
TIMEOUT_S = 0.8
# A connection whose peer has vanished is detected after 3 s, which is also the
# time for which a daemon then counts as disturbed.
LIMITS = messages.Limits(connections=8, silence_s=3)
# Header field of each response: the store's generation, which rises by one each
# time it comes back from a copy.
GENERATION_FIELD = "store-era"
# Sorts behind the names of all objects.
LAST_NAME = "~"
# Maximum number of calls for one list or one read of changes. A malformed
# object takes a call of its own, and a page has 500 objects.
MAX_PARTS = 200


class PlatformStore:
    """Lists and watches objects; see `store.interface.ObjectReader`.

    Attributes:
        http_client: HTTP client of the store.
        filters: Applied to the content of objects of some kinds before
            anything else sees it.
        calls: Calls so far by verb; each call is charged for.
    """

    def __init__(
        self,
        http_client: client.HttpClient,
        filters: Mapping[str, Callable[[Any], Any]] = NO_FILTERS,
    ) -> None:
        self.http_client = http_client
        self.filters = filters
        self.calls: collections.Counter[str] = collections.Counter()

    @classmethod
    def from_address(
        cls,
        address: str,
        port: int,
        filters: Mapping[str, Callable[[Any], Any]] = NO_FILTERS,
    ) -> "PlatformStore":
        """Builds a store; it connects on the first call."""
        return cls(client.HttpClient(address, port, LIMITS), filters)

    async def list(
        self, kind: str, labels: dict[str, str] | None = None
    ) -> interface.ListOutcome:
        """Reads all objects of a kind; the store does not support labels.

        A page ends early at a malformed object, which has no content then, and
        the list is continued after its name.
        """
        del labels
        items: list[interface.StoredObject] = []
        version = ""
        after = ""
        for _ in range(MAX_PARTS):
            part = await self._read_page(kind, after)
            if isinstance(part, interface.Unavailable):
                return part
            if not version and not part.version:
                version = await self._current_version(kind)
                if not version:
                    return interface.Unavailable(
                        "the store's revision can't be read"
                    )
                # What was read before that version is too old for it.
                continue
            # A watch from the first page's version repeats later changes.
            version = version or part.version
            if part.generation != _generation_of(version):
                return interface.Unavailable(
                    "the store came back from a copy during the list"
                )
            items.extend(
                self._to_stored_object(kind, item, part)
                for item in part.elements
            )
            if not part.more or not part.elements:
                return interface.Listed(tuple(items), version)
            before, after = after, part.elements[-1]["metadata"]["name"]
            if after <= before:
                return interface.Unavailable(
                    "the pages of the list do not advance"
                )
        return interface.Unavailable("the list does not end")

    async def changes(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome:
        """Reads the changes after a version; see `ObjectReader.changes`.

        A response ends early at a malformed object, as a page does, and is
        continued from the revision of that object.
        """
        changes = interface.Changes((), version)
        for _ in range(MAX_PARTS):
            part = await self._read_changes(kind, changes.version, wait_s)
            if not isinstance(part, responses.Part):
                return changes if changes.events else part
            events = changes.events + tuple(
                self._to_event(kind, event, part) for event in part.elements
            )
            if part.version:
                return interface.Changes(events, part.version)
            reached = part.version_of(
                part.elements[-1]["object"]["metadata"]["revision"]
            )
            if int(reached) <= int(changes.version):
                return interface.Unavailable("the changes do not advance")
            changes = interface.Changes(events, reached)
            wait_s = 0.0
        return changes

    async def close(self) -> None:
        """Closes all idle connections."""
        await self.http_client.close()

    def _to_event(
        self, kind: str, event: responses.Event, part: responses.Part
    ) -> interface.Changed | interface.Deleted:
        item = self._to_stored_object(kind, event["object"], part)
        if event["removed"]:
            return interface.Deleted(item)
        return interface.Changed(item)

    def _to_stored_object(
        self, kind: str, item: responses.Item, part: responses.Part
    ) -> interface.StoredObject:
        meta = item["metadata"]
        content = responses.decode_content(item)
        if kind in self.filters:
            content = self.filters[kind](content)
        return interface.StoredObject(
            kind, meta["name"], part.version_of(meta["revision"]), content
        )

    async def _read_page(
        self, kind: str, after: str
    ) -> responses.Part | interface.Unavailable:
        self.calls["list"] += 1
        target = _build_target(kind, **({"after": after} if after else {}))
        part = await self._read(target, TIMEOUT_S, responses.LIST_FORM)
        if isinstance(part, interface.Gone):
            return interface.Unavailable("status 410")
        return part

    async def _current_version(self, kind: str) -> str:
        """Returns the store's version, or an empty text if it is not known."""
        part = await self._read_page(kind, LAST_NAME)
        return part.version if isinstance(part, responses.Part) else ""

    async def _read_changes(
        self, kind: str, version: str, wait_s: float
    ) -> responses.Part | interface.Gone | interface.Unavailable:
        self.calls["watch"] += 1
        known = versions.StoreVersion.from_text(version)
        target = _build_target(
            kind, watch=str(known.revision), waitMs=str(int(wait_s * 1000))
        )
        outcome = await self._read(
            target, wait_s + TIMEOUT_S, responses.CHANGES_FORM
        )
        if not isinstance(outcome, responses.Part):
            return outcome
        if outcome.generation != known.generation:
            # The revision was given out again, for other changes.
            return interface.Gone(outcome.version_of(0))
        return outcome

    async def _read(
        self, target: str, timeout_s: float, form: responses.Form
    ) -> responses.Part | interface.Gone | interface.Unavailable:
        outcome = await self.http_client.request("GET", target, timeout_s)
        if not isinstance(outcome, outcomes.Answered):
            return interface.Unavailable(outcome.reason)
        status = outcome.response.status
        if status not in (200, 410):
            return interface.Unavailable(f"status {status}")
        try:
            generation = int(outcome.response.header(GENERATION_FIELD) or 0)
            if status == 410:
                start = versions.StoreVersion(generation, 0)
                return interface.Gone(start.to_text())
            part = responses.decode(outcome.body, form)
        except ValueError as error:
            return interface.Unavailable(
                f"a response can't be decoded: {error}"
            )
        return part._replace(generation=generation)


def _generation_of(version: str) -> int:
    return versions.StoreVersion.from_text(version).generation


def _build_target(kind: str, **query: str) -> str:
    text = parse.urlencode(query)
    return f"/api/objects/{kind}" + (f"?{text}" if text else "")
