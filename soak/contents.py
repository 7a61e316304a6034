"""What the store holds in a soak: documents and registrations."""

HOST = "desk.example"
SERVICES = ("desk", "archive")
# Requests below it end each server that runs them.
ENDING_PREFIX = "/read/ends-"
# Organisation of the callers that keep connections open, and its key.
CALLER_ORGANISATION = "callers"
CALLER_KEY = "key-callers"
TIMEOUT_S = 2.0
OBJECTIVE_S = 0.4


def document(version: int, more: int = 0) -> dict[str, object]:
    """Returns a document; each version has a route of its own.

    Args:
        version: The version.
        more: Number of routes besides those that callers use.
    """
    return {
        "version": version,
        "routes": [
            _route("read", "safe", "/read/", "desk"),
            _route("file", "unsafe", "/file/", "desk"),
            _route("look", "safe", "/look/", "archive"),
            _route("new", "safe", f"/version-{version}/", "desk"),
            *(
                _route(f"more-{number}", "safe", f"/more-{number}/", "archive")
                for number in range(more)
            ),
        ],
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 220}
            for name in SERVICES
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 100000,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
    }


def registration(
    service: str,
    address: str,
    zone: str,
    slots: int,
    state: str,
    started_ms: int,
) -> dict[str, object]:
    """Returns what a server registers."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "maxConcurrency": slots,
        "state": state,
        "warmupLeftS": 0,
        "born": started_ms,
    }


def spoilt(choice: str) -> object:
    """Returns an entry that another writer left among the registrations."""
    return {
        "nothing": None,
        "text": "\udcff",
        "half": {"service": SERVICES[0], "state": "ready"},
        "types": registration(SERVICES[0], "nowhere", "", 0, "parked", 1),
    }[choice]


def _route(
    name: str, kind: str, prefix: str, service: str
) -> dict[str, object]:
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutS": TIMEOUT_S,
        "targetLatencyS": OBJECTIVE_S,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }
