"""Calls to the object-API stand-in: parsing, counting and faults."""

import collections
import dataclasses
from typing import Any, NamedTuple
from urllib import parse as urls

from banyantiller.http import messages
from standins import answers

WRITES = ("create", "update", "delete")
ITEM_VERBS = {"GET": "get", "PUT": "update", "DELETE": "delete"}


@dataclasses.dataclass
class Faults:
    """What fails.

    Attributes:
        down: Calls get 503 without effect; open watches end.
        cut: Calls get no answer and have no effect; open watches end.
        slow: Seconds until a call takes effect.
        lose_answers: Next writes that take effect without an answer.
        stale: Reads show the state at the time of the switch.
        silent_watch: Watches stay open and deliver nothing.
    """

    down: bool = False
    cut: bool = False
    slow: float = 0.0
    lose_answers: int = 0
    stale: bool = False
    silent_watch: bool = False


class Call(NamedTuple):
    """One call.

    Attributes:
        verb: "get", "list", "create", "update", "delete" or "watch".
        api_version: Group and version.
        namespace: Namespace.
        kind: Plural kind.
        name: Name of the object, or empty.
        query: Query of the request.
        body: Body of the request.
    """

    verb: str
    api_version: str
    namespace: str
    kind: str
    name: str
    query: dict[str, str]
    body: bytes

    @property
    def scope(self) -> str:
        """Names the kind within its group and namespace."""
        return f"{self.api_version}/{self.namespace}/{self.kind}"


class CallCounts:
    """Calls by kind and verb; a waiting watch counts as one."""

    def __init__(self) -> None:
        self.by_kind: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )

    def add(self, call: Call) -> None:
        """Counts a call."""
        self.by_kind[call.kind][call.verb] += 1

    def report(self) -> dict[str, Any]:
        """Returns the counts by verb and by kind."""
        by_verb = sum(self.by_kind.values(), collections.Counter())
        return {
            "total": by_verb.total(),
            "by_verb": by_verb,
            "by_kind": self.by_kind,
        }


def parse(request: messages.Request) -> Call:
    """Reads a call out of a request.

    Raises:
        BadRequestError: The path or method is none of this API.
    """
    parts = [urls.unquote(part) for part in request.path.split("/")[1:]]
    if len(parts) not in (6, 7) or parts[0] != "apis":
        raise answers.BadRequestError("unknown path")
    if parts[3] != "namespaces":
        raise answers.BadRequestError("not in a namespace")
    name = parts[6] if len(parts) == 7 else ""
    verb = _find_verb(request, name)
    return Call(
        verb,
        f"{parts[1]}/{parts[2]}",
        parts[4],
        parts[5],
        name,
        request.query,
        request.body,
    )


def _find_verb(request: messages.Request, name: str) -> str:
    if name and request.method in ITEM_VERBS:
        return ITEM_VERBS[request.method]
    if not name and request.method == "POST":
        return "create"
    if not name and request.method == "GET":
        watching = request.query.get("watch") in ("1", "true")
        return "watch" if watching else "list"
    raise answers.BadRequestError("unknown method for this path")
