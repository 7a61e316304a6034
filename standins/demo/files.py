"""Settings and bundles of the demonstration."""

import pathlib
from typing import Any, NamedTuple

import yaml

ADDRESS = "127.0.0.1"
DEPLOYMENT = "demo"
GROUP_SECRET = "demonstration-only-secret"
ZONES = ("north", "south")


class DaemonPorts(NamedTuple):
    """Ports of one daemon."""

    callers: int
    admin: int
    peers: int


class Platform(NamedTuple):
    """Ports of the stand-ins of the platform."""

    object_api: int
    vm_list: int


class Operator(NamedTuple):
    """An operator's name, public key and key file."""

    name: str
    public_key: str
    key_file: str


def endpoint(port: int) -> dict[str, Any]:
    """Returns an endpoint on the loopback address."""
    return {"address": ADDRESS, "port": port}


def write(path: pathlib.Path, value: dict[str, Any]) -> str:
    """Writes a YAML file and returns its path."""
    path.write_text(yaml.safe_dump(value, sort_keys=False))
    return str(path)


def daemon_settings(
    number: int,
    ports: tuple[DaemonPorts, ...],
    platform: Platform,
    operators: tuple[Operator, ...],
) -> dict[str, Any]:
    """Returns the settings of daemon `number`, counted from 0."""
    own = ports[number]
    others = [endpoint(item.peers) for item in ports if item is not own]
    return {
        "deployment": DEPLOYMENT,
        "daemon": f"daemon-{number + 1}",
        "zone": ZONES[number % len(ZONES)],
        "callers": {"listen": endpoint(own.callers)},
        "admin": endpoint(own.admin),
        "peers": {
            "listen": endpoint(own.peers),
            "seeds": others,
            "secret": GROUP_SECRET,
        },
        "object_api": {"endpoint": endpoint(platform.object_api)},
        "vm_list": {"endpoint": endpoint(platform.vm_list), "period_s": 0.5},
        "trusted_keys": trusted_keys(operators),
        "drain": {"grace_s": 2.0, "limit_s": 15.0},
        "log": {"level": "info", "format": "text"},
    }


def operator_settings(
    own: Operator, platform: Platform, operators: tuple[Operator, ...]
) -> dict[str, Any]:
    """Returns the settings of the command-line tool for an operator."""
    return {
        "deployment": DEPLOYMENT,
        "operator": own.name,
        "key_file": own.key_file,
        "object_api": {"endpoint": endpoint(platform.object_api)},
        "trusted_keys": trusted_keys(operators),
    }


def trusted_keys(operators: tuple[Operator, ...]) -> list[dict[str, Any]]:
    """Returns the keys that daemons and operators trust."""
    return [
        {"name": item.name, "public_key": item.public_key} for item in operators
    ]


def bundle(servers: dict[str, int], description: str) -> dict[str, Any]:
    """Returns a bundle with one service on the given servers.

    Args:
        servers: Ports by name.
        description: What the change is for.
    """
    listed = [
        {
            "name": name,
            **endpoint(port),
            "zone": ZONES[number % len(ZONES)],
            "vm": name,
        }
        for number, (name, port) in enumerate(servers.items())
    ]
    return {
        "description": description,
        "services": [
            {
                "name": "desk",
                "servers": listed,
                "slots": 2,
                "requests": [
                    {"idempotent": True, "methods": ["GET"]},
                    {
                        "idempotent": False,
                        "methods": ["POST"],
                        "path": "/deposits",
                    },
                ],
            }
        ],
    }


def vms(servers: dict[str, int], daemons: int) -> dict[str, Any]:
    """Returns the VM list of the platform."""
    backends = [
        {"name": name, "zone": ZONES[number % len(ZONES)], "role": "backend"}
        for number, name in enumerate(servers)
    ]
    balancers = [
        {
            "name": f"daemon-{number + 1}",
            "zone": ZONES[number % len(ZONES)],
            "role": "balancer",
        }
        for number in range(daemons)
    ]
    return {
        "vms": [
            {**vm, "address": ADDRESS, "state": "live"}
            for vm in backends + balancers
        ]
    }
