"""Plays one kind of trouble a day on a site of the users' bench.

    python -m bench.kinds BENCH SITE --why TEXT [--only KIND] [--beside]

Writes a day for each kind and variant, with the trouble twice and the traffic
of the site's first day, plays it and prints a table: rules broken, worth, and
the difference from a day without trouble. With `--beside` a release, a rolling
restart and a change of the configuration go on at the same time. Days go to
`out/kinds`.
"""

import concurrent.futures
import pathlib
import re
import subprocess
import tomllib
from typing import NamedTuple

import defopt

FOLDER = pathlib.Path("out/kinds")
AT_S = (4.0, 15.0)
# Kind, variants of its `how`, and what else it takes.
KINDS: tuple[tuple[str, tuple[str, ...], str], ...] = (
    ("burst", ("",), "x = 1.8, for_s = 4.0"),
    ("shift", ("",), "share = 0.5, for_s = 5.0"),
    ("retry_abuse", ("",), "share = 0.3, x = 3.0, for_s = 5.0"),
    ("give_up", ("", "once"), "share = 0.3, for_s = 5.0"),
    ("srv_crash", ("", "dark", "gone"), "share = 0.2, for_s = 5.0"),
    ("srv_slow", ("",), "share = 0.2, x = 6.0, for_s = 6.0"),
    (
        "srv_grey",
        ("errors", "shed", "busy", "hang", "reset", "mute", "slow"),
        "share = 0.2, x = 0.5, for_s = 6.0",
    ),
    ("srv_flap", ("",), "share = 0.2, gap_s = 1.0, for_s = 6.0"),
    (
        "srv_lying_health",
        ("errors", "hang", "reset", "bad", "bad all"),
        "share = 0.2, for_s = 6.0",
    ),
    (
        "srv_cut",
        ("", "fronts", "some", "one_way", "reset", "reborn"),
        "share = 0.2, for_s = 5.0",
    ),
    ("release", ("",), "share = 0.5, gap_s = 0.8"),
    ("replace_with_reuse", ("", "drain", "dark"), "share = 0.2"),
    ("scale_out", ("",), "share = 0.3, gap_s = 1.0"),
    ("scale_in", ("", "stay", "spot"), "share = 0.15, for_s = 6.0"),
    ("answer_lost", ("", "reset"), "share = 0.5, x = 0.3, for_s = 5.0"),
    (
        "garble",
        ("", "extra", "extra late", "unframed", "early"),
        "share = 0.5, x = 0.1, for_s = 5.0",
    ),
    ("node_kill", ("", "power", "leader race"), "share = 0.3, for_s = 3.0"),
    ("node_freeze", ("",), "share = 0.3, for_s = 4.0"),
    ("node_slow", ("",), "share = 0.3, x = 6.0, for_s = 5.0"),
    ("roll_term", ("", "busy", "remove"), "share = 0.4, gap_s = 1.0"),
    ("herd_kill", ("", "power"), "share = 0.6, for_s = 2.0"),
    ("after_ack_kill", ("", "kill", "timed"), "for_s = 3.0"),
    ("clock_step", ("", "ahead", "back"), "share = 0.5, x = 3000.0"),
    ("core_cut", ("", "one_way", "leader"), "count = 3, for_s = 5.0"),
    ("node_cut", ("", "all", "meet"), "share = 0.3, for_s = 5.0"),
    ("lossy", ("",), "x = 0.05, for_s = 5.0"),
    (
        "platform_down",
        (
            "", "silent", "busy", "reset", "lapse", "silent lapse",
            "nodes busy meet", "nodes many", "nodes reset", "nodes drain",
        ),
        "share = 0.5, for_s = 6.0",
    ),
    ("platform_slow", ("",), "x = 90.0, for_s = 6.0"),
    ("platform_lost", ("", "late"), "x = 0.4, for_s = 6.0"),
    ("platform_compact", ("", "drain"), "x = 4.0, for_s = 6.0"),
    ("config_change", ("route", "weights", "timeout", "idle"), ""),
    ("config_storm", ("",), "gap_s = 0.3, for_s = 5.0"),
    ("hup", ("",), "share = 0.5, for_s = 3.0"),
    ("reset_conns", ("", "silent"), "share = 0.5, x = 0.6"),
)  # fmt: skip
PLANNED = {"release", "scale_out", "scale_in", "roll_term", "config_change",
           "config_storm", "hup"}  # fmt: skip
# Planned work that goes on beside the trouble, so that both times of it fall
# into some.
BESIDE = (
    "{ at = 3.0, kind = 'release', share = 0.5, gap_s = 0.8 }",
    "{ at = 12.0, kind = 'roll_term', share = 0.4, gap_s = 1.0 }",
    "{ at = 16.0, kind = 'config_change', how = 'route' }",
)
WORTH = re.compile(r"^kind-\S+ +\S+ +(?:\S+ +)?(-?\d\.\d+) +(\d\.\d+)", re.M)
BROKEN = re.compile(r"^rules broken: (.*)$", re.MULTILINE)


class Played(NamedTuple):
    """One day.

    Attributes:
        name: Kind and variant.
        worth: What the day was worth, or None if it was not played.
        broken: Rules broken, or empty.
    """

    name: str
    worth: float | None
    broken: str


def main(
    bench: str,
    site: str,
    *,
    why: str,
    only: str = "",
    beside: bool = False,
    jobs: int = 2,
) -> None:
    """Plays the days and prints the table.

    Args:
        bench: Path of the users' bench.
        site: Path of the site file.
        why: Reason, for the bench's journal.
        only: Kind to play; all if empty.
        beside: Let planned work go on beside the trouble.
        jobs: Days played at a time.
    """
    days = days_of(only, beside)
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        rows = list(pool.map(lambda day: _play(bench, site, why, *day), days))
    calm = rows[0].worth or 0.0
    print("| kind | worth | less than calm | broken |\n|---|---|---|---|")
    for row in rows:
        worth = "not played" if row.worth is None else f"{row.worth:.3f}"
        less = "" if row.worth is None else f"{calm - row.worth:.3f}"
        print(f"| {row.name} | {worth} | {less} | {row.broken} |")


def days_of(only: str, beside: bool) -> list[tuple[str, str]]:
    """Returns names and troubles, in TOML; the first day has no trouble."""
    work = BESIDE if beside else ()
    found = [("calm", _tables(work, ()))]
    for kind, variants, rest in KINDS:
        if only and kind != only:
            continue
        for how in variants:
            entries = tuple(
                f"{{ at = {at}, kind = {kind!r}, how = {how!r}"
                f"{', ' if rest else ''}{rest} }}"
                for at in AT_S
            )
            planned = kind in PLANNED
            text = _tables(
                (*work, *entries) if planned else work,
                () if planned else entries,
            )
            found.append((f"{kind} {how}".strip(), text))
    return found


def _tables(plan: tuple[str, ...], faults: tuple[str, ...]) -> str:
    """Returns the two lists of a day that are not empty."""
    lists = (("plan", plan), ("faults", faults))
    return "".join(
        f"{name} = [\n" + "".join(f"  {entry},\n" for entry in entries) + "]\n"
        for name, entries in lists
        if entries
    )


def _play(bench: str, site: str, why: str, name: str, text: str) -> Played:
    slug = "kind-" + name.replace(" ", "-").replace("_", "-")
    path = FOLDER / pathlib.Path(site).stem / f"{slug}.toml"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(_head(site, slug) + text + _traffic(site))
    done = subprocess.run(
        [bench, "run", site, str(path), "--why", f"{why}: {name}"],
        capture_output=True, text=True, check=False,
    )  # fmt: skip
    path.with_suffix(".log").write_text(done.stdout + done.stderr)
    worth = WORTH.search(done.stdout)
    broken = BROKEN.search(done.stdout)
    return Played(
        name,
        float(worth.group(1)) if worth else None,
        broken.group(1) if broken else "",
    )


def _head(site: str, name: str) -> str:
    with open(site, "rb") as stream:
        day = tomllib.load(stream)["day"][0]
    return (
        f'name = "{name}"\nslot = "quiet"\nseed = {day["seed"]}\n'
        f"one = {day['one']}\nzero = {day['zero']}\nlabels = []\n"
    )


def _traffic(site: str) -> str:
    """Returns the first day's traffic as it stands in the site file."""
    text = pathlib.Path(site).read_text()
    begin = text.index("\ntraffic = [", text.index("[[day]]"))
    return text[begin : text.index("\n]", begin) + 3]


if __name__ == "__main__":
    defopt.run(main)
