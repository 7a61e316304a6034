"""Rows of the data path: calls, memory, connections, bundles."""

from bench import slopes_sizes as sizes
from bench.slopes_sizes import EXTRAPOLATED, MEASURED, Fleet, Row, Slopes


def proxy(slopes: Slopes, size: Fleet) -> list[Row]:
    """Returns what calls cost."""
    p99 = slopes.figure("overhead", "least_added_p99_ms")
    p50 = min(y for _, y in slopes.line("overhead", "added p50").points)
    module = "proxy/caller.py, proxy/backend.py"
    return [
        Row(
            "proxy",
            "cores kept busy",
            f"{sizes.CALLS:,} calls/s x {size.call_us:g} us",
            size.cores,
            None,
            EXTRAPOLATED,
            module,
        ),
        Row(
            "proxy",
            "daemons of one core",
            f"{size.cores:.1f} / {sizes.UTILISATION}",
            size.daemons,
            None,
            EXTRAPOLATED,
            module,
        ),
        Row(
            "proxy",
            "daemons with one zone lost",
            f"ceil({size.daemons} / {sizes.ZONES - 1}) x {sizes.ZONES}",
            size.with_spare,
            None,
            EXTRAPOLATED,
            module,
        ),
        Row(
            "proxy",
            "daemons a zone",
            f"{size.with_spare} / {sizes.ZONES}",
            size.with_spare / sizes.ZONES,
            None,
            EXTRAPOLATED,
            module,
        ),
        Row(
            "proxy",
            "added p99 of one call (ms)",
            "least of the measured curve",
            p99,
            sizes.ADDED_MS,
            MEASURED,
            module,
        ),
        Row(
            "proxy",
            "added p50 of a call 7 deep (ms)",
            f"{sizes.DEPTH} x {p50:g}",
            sizes.DEPTH * p50,
            None,
            EXTRAPOLATED,
            module,
        ),
    ]


def memory(slopes: Slopes, size: Fleet) -> list[Row]:
    """Returns what a daemon holds in memory."""

    def kb(over: str) -> float:
        return slopes.line("memory", "memory", over).slope

    table = [
        (
            "open connections of callers",
            sizes.CALLER_CONNECTIONS,
            "open connections",
            "proxy/caller.py",
            sizes.ASSUMPTION,
        ),
        (
            "backend servers",
            sizes.SERVERS,
            "backend servers",
            "routing/views.py, proxy/pool.py",
            MEASURED,
        ),
        (
            "peers",
            size.with_spare,
            "peers",
            "membership/table.py",
            EXTRAPOLATED,
        ),
        (
            "remembered claims, at their bound",
            sizes.MOST_KNOWN_CLAIMS,
            "remembered claims",
            "claims/outcome_cache.py",
            MEASURED,
        ),
    ]
    return [
        Row(
            "proxy" if module.startswith(("proxy", "routing")) else "peer",
            f"memory of {what} (MB)",
            f"{count:,} x {kb(over):g} KB / 1024",
            count * kb(over) / 1024,
            None,
            mark,
            module,
        )
        for what, count, over, module, mark in table
    ]


def connections(_: Slopes, size: Fleet) -> list[Row]:
    """Returns what a backend server sees."""
    limit, daemons = sizes.SERVER_CONNECTIONS, size.with_spare
    each = max(1, limit // daemons)
    return [
        Row(
            "backend server's connections",
            "most connections to one server",
            f"max(1, {limit} // {daemons}) x {daemons}",
            each * daemons,
            limit,
            EXTRAPOLATED,
            "proxy/driver.py",
        ),
    ]


def bundle(slopes: Slopes, _: Fleet) -> list[Row]:
    """Returns what a change costs."""
    verify = slopes.line("bundle", "decoding and verifying").at(sizes.SERVICES)
    apply = slopes.line("bundle", "putting a bundle").at(sizes.SERVICES)
    part = slopes.line("bundle", "decoding changed parts").at(1)
    stall = verify + apply + part
    manifest = slopes.line("bundle", "manifest").at(sizes.SERVICES) / 1000
    return [
        Row(
            "proxy",
            "event loop held by one change (ms)",
            f"{verify:.3g} + {apply:.3g} + {part:.3g}",
            stall,
            None,
            MEASURED,
            "replica/state.py, proxy/proxy.py",
        ),
        Row(
            "proxy",
            "share of time so held (%)",
            f"{stall:.3g} ms x {sizes.CHANGES_PER_S:.4f}/s / 10",
            stall * sizes.CHANGES_PER_S / 10,
            1.0,
            EXTRAPOLATED,
            "replica/state.py, proxy/proxy.py",
        ),
        Row(
            "peer",
            "manifest of a change (KB)",
            f"{sizes.SERVICES} services",
            manifest,
            None,
            MEASURED,
            "bundle/canonical.py",
        ),
    ]
