"""Measures bytes and processor time of one accepted change: `bench.bundles`.

For bundles of growing size, with ten servers a service, it gives what a
daemon receives and computes when one service changes: the accepted manifest,
its verification and one part. Times are processor time, median of the runs.
"""

import json
import statistics
import time
from collections.abc import Callable
from typing import Any

import defopt

from banyantiller.bundle import canonical, signing, verification
from banyantiller.bundle.manifest import AcceptedBundle, Manifest
from banyantiller.bundle.options import (
    BackendServer,
    Bundle,
    RequestRule,
    Service,
)
from banyantiller.config.defaults import TrustedKey

SERVERS = 10
SERVICES = (15, 30, 60, 120)
DEPLOYMENT = "bench"


def main(*, runs: int = 50, json: bool = False) -> None:
    """Measures each size and prints a table, or one line of JSON.

    Args:
        runs: Runs of each measurement.
        json: Print JSON as the last line.
    """
    rows = [measure(count, runs) for count in SERVICES]
    show(rows, json)


def show(rows: list[dict[str, Any]], as_json: bool) -> None:
    """Prints a table and, if asked for, one line of JSON."""
    print(*rows[0], sep="\t")
    for row in rows:
        print(*(f"{value:.4g}" for value in row.values()), sep="\t")
    if as_json:
        print(json.dumps({"sizes": rows}))


def measure(count: int, runs: int) -> dict[str, Any]:
    """Measures a bundle with a number of services."""
    bundle = Bundle(tuple(service(index) for index in range(count)))
    accepted, trusted = accept(bundle)
    data = canonical.encode_accepted(accepted)
    part, content = canonical.split(bundle)["service-0"]

    def verify() -> None:
        at = accepted.accepted_at
        if verification.verify(accepted, trusted, DEPLOYMENT, at):
            raise AssertionError("The bundle does not verify.")

    return {
        "services": count,
        "accepted_bytes": len(data),
        "part_bytes": len(content),
        "bundle_bytes": canonical.total_size(accepted.manifest.parts),
        "decode_ms": median_ms(lambda: canonical.decode_accepted(data), runs),
        "verify_ms": median_ms(verify, runs),
        "part_ms": median_ms(
            lambda: canonical.decode_part(content, part), runs
        ),
    }


def service(index: int) -> Service:
    """Makes one service."""
    name = f"service-{index}"
    servers = tuple(
        BackendServer(f"{name}-{n}", f"10.0.{index}.{n}", 8080, f"zone-{n % 3}")
        for n in range(SERVERS)
    )
    rules = (RequestRule(True, ("GET", "HEAD")),)
    return Service(name, servers, path=f"/{name}", requests=rules)


def accept(bundle: Bundle) -> tuple[AcceptedBundle, tuple[TrustedKey, ...]]:
    """Signs a bundle as two operators."""
    pairs = {name: signing.KeyPair.generate() for name in ("ana", "ben")}
    parts = tuple(part for part, _ in canonical.split(bundle).values())
    manifest = Manifest(DEPLOYMENT, 1, "", "ana", "", parts)
    signatures = (
        signing.sign(pairs["ana"].private, "ana", signing.PROPOSE, manifest),
        signing.sign(pairs["ben"].private, "ben", signing.SIGN, manifest),
    )
    trusted = tuple(TrustedKey(n, pair.public) for n, pair in pairs.items())
    return AcceptedBundle(manifest, signatures, time.time(), "ana"), trusted


def median_ms(body: Callable[[], Any], runs: int) -> float:
    """Returns the median processor time of a call in milliseconds."""
    times = []
    for _ in range(runs):
        started = time.process_time()
        body()
        times.append(time.process_time() - started)
    return statistics.median(times) * 1000


if __name__ == "__main__":
    defopt.run(main, short={}, no_negated_flags=True)
