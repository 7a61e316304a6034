"""Rows of control: peers, the store, claims, the platform."""

from bench import slopes_sizes as sizes
from bench.slopes_sizes import EXTRAPOLATED, MEASURED, Fleet, Row, Slopes


def peer(slopes: Slopes, size: Fleet) -> list[Row]:
    """Returns what a daemon spends as a peer."""
    count = size.with_spare

    def both(name: str) -> tuple[float, str]:
        """At the target's daemons and services, from both lines."""
        over_daemons = slopes.line("daemons", name)
        over_services = slopes.line("services", name)
        base = sizes.FEW_DAEMONS
        at_services = over_services.at(sizes.SERVICES)
        # A cost that seems to fall is not trusted beyond what was measured.
        slope = max(0.0, over_daemons.slope)
        text = (
            f"{at_services:.4g} at {sizes.SERVICES} services"
            f" + {slope:.3g} x ({count} - {base:g})"
        )
        return at_services + slope * (count - base), text

    rows = []
    changes = f"{sizes.CHANGES_PER_S:.4f}"
    core, core_text = both("control, no rolls (% of a core")
    roll_ms, roll_text = both("one roll (ms")
    percent = core + roll_ms * sizes.CHANGES_PER_S / 10
    rows.append(
        Row(
            "peer",
            "control, processor time (% of a core)",
            f"{core_text} + ({roll_text}) ms x {changes}/s / 10",
            percent,
            sizes.CONTROL_PERCENT,
            EXTRAPOLATED,
            "membership/peers.py, replica/replicator.py",
        )
    )
    idle, idle_text = both("control, no rolls (KB/s")
    roll_kb, kb_text = both("one roll (KB")
    rows.append(
        Row(
            "peer",
            "control, bytes (KB/s)",
            f"{idle_text} + ({kb_text}) KB x {changes}/s",
            idle + roll_kb * sizes.CHANGES_PER_S,
            sizes.CONTROL_KB_PER_S,
            EXTRAPOLATED,
            "membership/overlay.py, replica/part_fetcher.py",
        )
    )
    messages = slopes.line("daemons", "messages on links")
    rows.append(
        Row(
            "peer",
            "messages on links, no rolls (1/s)",
            f"{messages.intercept:g} + {messages.slope:g} x {count}",
            messages.at(count),
            None,
            EXTRAPOLATED,
            "membership/link.py, membership/overlay.py",
        )
    )
    memory, memory_text = both("resident memory (MB")
    plain = slopes.line("memory", "memory", "open connections").intercept / 1024
    data_path = (
        sizes.SERVERS
        * slopes.line("memory", "memory", "backend servers").slope
        / 1024
    )
    rows.append(
        Row(
            "peer",
            "control, memory above the plain proxy (MB)",
            f"{memory_text} - {plain:.1f} - {data_path:.1f}",
            memory - plain - data_path,
            sizes.CONTROL_MB,
            EXTRAPOLATED,
            "membership/table.py, replica/state.py",
        )
    )
    rows.append(
        Row(
            "peer",
            "members in the table",
            "daemons",
            count,
            sizes.MOST_MEMBERS,
            EXTRAPOLATED,
            "membership/table.py",
        )
    )
    in_force, in_force_text = both("acceptance to force")
    rows.append(
        Row(
            "peer",
            "acceptance to force (s)",
            in_force_text,
            in_force,
            sizes.IN_FORCE_S,
            EXTRAPOLATED,
            "replica/replicator.py",
        )
    )
    rows.append(
        Row(
            "peer",
            "fresh daemon to bundle in force (s)",
            "longest of all measured",
            max(
                slopes.figure(step, "fresh_daemon_max_s")
                for step in ("daemons", "services")
            ),
            None,
            MEASURED,
            "replica/part_fetcher.py",
        )
    )
    return rows


def store(slopes: Slopes, size: Fleet) -> list[Row]:
    """Returns what the object API gets without claims."""
    count = size.with_spare
    calls = slopes.line("daemons", "object API, no rolls (calls")
    roll = slopes.line("daemons", "one roll (calls")
    services = slopes.line("services", "one roll (calls")
    a_roll = services.at(sizes.SERVICES) + roll.slope * (
        count - sizes.FEW_DAEMONS
    )
    total = calls.at(count) + a_roll * sizes.CHANGES_PER_S
    writes = slopes.line("daemons", "object API, no rolls (writes")
    blocks = (
        count * sizes.DAY_S / sizes.EVIDENCE_PERIOD_S / sizes.RECORDS_A_BLOCK
    )
    return [
        Row(
            "watcher of the store",
            "daemons that watch",
            "object_api.watchers",
            sizes.WATCHERS,
            None,
            sizes.ASSUMPTION,
            "replica/store_reader.py",
        ),
        Row(
            "object API",
            "calls without claims (calls/s)",
            f"{calls.intercept:g} + {calls.slope:g} x {count}"
            f" + {a_roll:.4g} x {sizes.CHANGES_PER_S:.4f}",
            total,
            sizes.READS_PER_S,
            EXTRAPOLATED,
            "replica/store_reader.py, replica/status.py",
        ),
        Row(
            "object API",
            "writes without claims and rolls (writes/s)",
            f"{writes.intercept:g} + {writes.slope:g} x {count}",
            writes.at(count),
            sizes.WRITES_PER_S,
            EXTRAPOLATED,
            "evidence/writer.py, replica/status.py",
        ),
        Row(
            "object API",
            "evidence blocks a day",
            f"{count} x {sizes.DAY_S} / {sizes.EVIDENCE_PERIOD_S}"
            f" / {sizes.RECORDS_A_BLOCK}",
            blocks,
            None,
            EXTRAPOLATED,
            "evidence/layout.py, evidence/cleanup.py",
        ),
    ]


def claims(slopes: Slopes, size: Fleet) -> list[Row]:
    """Returns what claims cost the object API."""
    each = slopes.line("claims", "writes").slope
    claims = sizes.CALLS * sizes.KEYED_SHARE
    base = slopes.line("daemons", "object API, no rolls (writes").at(
        size.with_spare
    )
    share = 100 * max(0.0, sizes.WRITES_PER_S - base) / (sizes.CALLS * each)
    module = "claims/arbiter.py"
    return [
        Row(
            "object API",
            "claims (1/s)",
            f"{sizes.CALLS:,} x {sizes.KEYED_SHARE}",
            claims,
            None,
            sizes.ASSUMPTION,
            module,
        ),
        Row(
            "object API",
            "writes for claims (writes/s)",
            f"{claims:g} x {each:g}",
            claims * each,
            sizes.WRITES_PER_S,
            sizes.ASSUMPTION,
            module,
        ),
        Row(
            "object API",
            "share of keyed calls at which today's way ends (%)",
            f"({sizes.WRITES_PER_S} - {base:.3g})"
            f" / ({sizes.CALLS:,} x {each:g}) x 100",
            share,
            None,
            EXTRAPOLATED,
            module,
        ),
    ]


def platform(slopes: Slopes, size: Fleet) -> list[Row]:
    """Returns what the VM list and the tool see."""
    return [
        Row(
            "VM list",
            "reads (1/s)",
            f"{size.with_spare} / {sizes.VM_LIST_PERIOD_S} s",
            size.with_spare / sizes.VM_LIST_PERIOD_S,
            None,
            EXTRAPOLATED,
            "vmlist/http.py",
        ),
        Row(
            "command-line tool",
            "calls for one bundle of 120 services",
            "one roll, fleet and operators",
            slopes.line("services", "one roll (calls").at(sizes.SERVICES),
            None,
            MEASURED,
            "bundle/proposals.py, bundle/acceptance.py",
        ),
    ]
