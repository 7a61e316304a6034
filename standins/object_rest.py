"""Answers of the object-API stand-in without its faults."""

import base64
import collections
import json
from collections.abc import AsyncIterator
from typing import Any

import msgspec

from banyantiller.http import messages
from banyantiller.store import interface, wire
from banyantiller.store import table as tables
from standins import answers, object_calls

MOST_PAGES = 64
DEFAULT_LIMIT = 500


class ObjectRest:
    """Objects and what calls do to them.

    Attributes:
        table: The objects.
        faults: Looked at while a watch is open.
        bookmark_s: Period of bookmarks on a watch without changes.
        pages: Rest of lists by token, oldest first.
        stale_view: Objects that reads are answered from, or None.
    """

    def __init__(self, faults: object_calls.Faults, bookmark_s: float) -> None:
        self.table = tables.ObjectTable()
        self.faults = faults
        self.bookmark_s = bookmark_s
        self.pages: collections.OrderedDict[str, interface.Listed] = (
            collections.OrderedDict()
        )
        self.stale_view: tables.View | None = None

    def serve_stale(self, on: bool) -> None:
        """Answers reads from the present state until switched off."""
        self.stale_view = self.table.snapshot() if on else None

    def answer(self, call: object_calls.Call) -> messages.Response:
        """Carries out a call."""
        handlers = {
            "get": self._get,
            "list": self._list,
            "create": self._create,
            "update": self._update,
            "delete": self._delete,
            "watch": self._watch,
        }
        return handlers[call.verb](call)

    def _get(self, call: object_calls.Call) -> messages.Response:
        found = self.table.get(call.scope, call.name, self.stale_view)
        return _answer_item(call, found)

    def _create(self, call: object_calls.Call) -> messages.Response:
        sent = _read_body(call)
        made = self.table.create(
            call.scope,
            sent.metadata.name,
            sent.spec,
            sent.metadata.labels,
        )
        return _answer_item(call, made, 201)

    def _update(self, call: object_calls.Call) -> messages.Response:
        sent = _read_body(call)
        version = sent.metadata.resourceVersion
        if not version or sent.metadata.name != call.name:
            return refuse(422, "Invalid", "name and version must be given")
        item = interface.StoredObject(
            call.scope, call.name, version, {}, sent.metadata.labels
        )
        return _answer_item(call, self.table.update(item, sent.spec))

    def _delete(self, call: object_calls.Call) -> messages.Response:
        found = self.table.get(call.scope, call.name)
        if isinstance(found, interface.Missing):
            return _answer_item(call, found)
        options = answers.read_object(call.body)
        wanted = options.get("preconditions", {}).get("resourceVersion")
        item = found.item._replace(version=wanted or found.item.version)
        return _answer_item(call, self.table.delete(item))

    def _list(self, call: object_calls.Call) -> messages.Response:
        token = call.query.get("continue")
        if token is None:
            labels = _read_selector(call.query.get("labelSelector", ""))
            rest = self.table.list(call.scope, labels, self.stale_view)
        elif token in self.pages:
            rest = self.pages[token]
        else:
            return refuse(410, "Expired", "the continue token is too old")
        limit = int(call.query.get("limit", "0")) or DEFAULT_LIMIT
        metadata = {"resourceVersion": rest.version}
        if len(rest.items) > limit:
            left = interface.Listed(rest.items[limit:], rest.version)
            metadata["continue"] = self._keep_page(left)
        items = [_to_object(call, item) for item in rest.items[:limit]]
        kind = f"{wire.singular(call.kind)}List"
        return answers.to_json(
            200,
            {
                "apiVersion": call.api_version,
                "kind": kind,
                "metadata": metadata,
                "items": items,
            },
        )

    def _keep_page(self, rest: interface.Listed) -> str:
        text = f"{rest.version}/{rest.items[0].name}/{len(self.pages)}"
        token = base64.urlsafe_b64encode(text.encode()).decode()
        self.pages[token] = rest
        while len(self.pages) > MOST_PAGES:
            self.pages.popitem(last=False)
        return token

    def _watch(self, call: object_calls.Call) -> messages.Response:
        version = call.query.get("resourceVersion", "")
        if not version.isdecimal():
            return refuse(400, "BadRequest", "resourceVersion must be given")
        if self.table.writes_since(call.scope, int(version)) is None:
            return refuse(410, "Expired", "too old resource version")
        return messages.Response(
            200, (answers.JSON_TYPE,), self._events(call, int(version))
        )

    async def _events(
        self, call: object_calls.Call, seen: int
    ) -> AsyncIterator[bytes]:
        """Yields a line for each change, and bookmarks while there is none."""
        while not (self.faults.down or self.faults.cut):
            if self.faults.silent_watch:
                await self.table.wait(self.bookmark_s)
                continue
            entries = self.table.writes_since(call.scope, seen)
            if entries is None:
                yield _line("ERROR", _status(410, "Expired", "too old"))
                return
            seen = self.table.revision
            for entry in entries:
                yield _line(_event_type(entry), _to_object(call, entry))
            if not entries:
                yield _line("BOOKMARK", _bookmark(call, seen))
            if seen == self.table.revision:
                await self.table.wait(self.bookmark_s)


def refuse(
    code: int, reason: str, message: str, headers: messages.Headers = ()
) -> messages.Response:
    """Returns a refusal with its status object."""
    return answers.to_json(code, _status(code, reason, message), headers)


def _status(code: int, reason: str, message: str) -> dict[str, Any]:
    return {
        "apiVersion": "v1",
        "kind": "Status",
        "status": "Failure",
        "reason": reason,
        "message": message,
        "code": code,
    }


def _answer_item(
    call: object_calls.Call, outcome: interface.UpdateOutcome, code: int = 200
) -> messages.Response:
    if isinstance(outcome, interface.Found):
        return answers.to_json(code, _to_object(call, outcome.item))
    if isinstance(outcome, interface.Missing):
        return refuse(404, "NotFound", f"{call.kind} not found")
    if isinstance(outcome, interface.Conflict):
        reason = "AlreadyExists" if call.verb == "create" else "Conflict"
        return refuse(409, reason, f"{call.kind} was changed")
    return refuse(413, "RequestEntityTooLarge", outcome.reason)


def _read_body(call: object_calls.Call) -> wire.CustomObject:
    try:
        sent = msgspec.json.decode(call.body, type=wire.CustomObject)
    except msgspec.MsgspecError as error:
        raise answers.BadRequestError(f"not an object: {error}") from error
    if not sent.metadata.name:
        raise answers.BadRequestError("the object has no name")
    return sent


def _read_selector(text: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in text.split(",") if part)
    return {name: value for name, _, value in pairs}


def _to_object(
    call: object_calls.Call,
    found: interface.StoredObject | tables.HistoryEntry,
) -> dict[str, Any]:
    item = found.event.item if isinstance(found, tables.HistoryEntry) else found
    data = wire.encode_object(call.api_version, item._replace(kind=call.kind))
    return json.loads(data)


def _event_type(entry: tables.HistoryEntry) -> str:
    if isinstance(entry.event, interface.Deleted):
        return "DELETED"
    return "ADDED" if entry.created else "MODIFIED"


def _bookmark(call: object_calls.Call, revision: int) -> dict[str, Any]:
    return {
        "apiVersion": call.api_version,
        "kind": wire.singular(call.kind),
        "metadata": {"resourceVersion": str(revision)},
    }


def _line(event_type: str, item: dict[str, Any]) -> bytes:
    return wire.encode({"type": event_type, "object": item}) + b"\n"
