"""`banyantiller zones`: shows, evacuates and gives back availability zones."""

from typing import Any, NamedTuple

from banyantiller import exceptions
from banyantiller.bundle.options import Bundle, Service
from banyantiller.commands import context, output, propose, references

HEAD = ("ZONE", "SERVICE", "SERVERS", "STATE")
EVACUATED = "evacuated"
IN_USE = "in use"


class _Row(NamedTuple):
    """The servers of one service in one zone."""

    zone: str
    service: str
    servers: int
    state: str


def zones(
    zone: str = "",
    *,
    give_back: bool = False,
    settings: str = context.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Shows availability zones, or proposes to evacuate one.

    An evacuated zone's servers get no new calls; calls that run there end in
    their own time. As with every change, another operator signs the proposal,
    and it is in force once it is rolled.

    Args:
        zone: Zone to evacuate; shows all zones if it is left out.
        give_back: Propose that the zone is used again.
        settings: Settings file of the operator.
        json: Print JSON for programs.
    """

    async def body(session: context.Session) -> int:
        found = await references.head(session)
        if found is None:
            raise exceptions.BanyantillerError("No bundle was accepted yet.")
        manifest = found.accepted.manifest
        before = await references.content(session, manifest)
        if not zone:
            _show(json, _rows(before))
            return 0
        after = _changed(before, zone, give_back)
        propose.emit(json, await propose.offer(session, (), before, after))
        return 0

    return context.run(settings, body)


def _changed(before: Bundle, zone: str, give_back: bool) -> Bundle:
    """Returns the bundle in which a zone is evacuated, or is not.

    Raises:
        BanyantillerError: No server is in the zone, or nothing would change.
    """
    known = {row.zone for row in _rows(before)}
    if zone not in known:
        raise exceptions.BanyantillerError(
            f"No server is in zone '{zone}'; known are: "
            f"{', '.join(sorted(known)) or 'none'}."
        )
    services = tuple(
        _service(service, zone, give_back) for service in before.services
    )
    if services == before.services:
        state = "in use" if give_back else "evacuated"
        raise exceptions.BanyantillerError(f"Zone '{zone}' is {state} already.")
    return before._replace(services=services)


def _service(service: Service, zone: str, give_back: bool) -> Service:
    others = [name for name in service.evacuated_zones if name != zone]
    has_servers = any(server.zone == zone for server in service.servers)
    if has_servers and not give_back:
        others.append(zone)
    return service._replace(evacuated_zones=tuple(sorted(others)))


def _rows(bundle: Bundle) -> list[_Row]:
    rows = []
    for service in bundle.services:
        for zone in sorted({server.zone for server in service.servers}):
            count = sum(server.zone == zone for server in service.servers)
            evacuated = zone in service.evacuated_zones
            state = EVACUATED if evacuated else IN_USE
            rows.append(_Row(zone, service.name, count, state))
    return sorted(rows)


def _show(json: bool, rows: list[_Row]) -> None:
    data: list[dict[str, Any]] = [row._asdict() for row in rows]
    cells = [
        (row.zone or "-", row.service, str(row.servers), row.state)
        for row in rows
    ]
    output.emit(json, data, output.table(HEAD, cells))
