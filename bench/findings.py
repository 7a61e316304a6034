"""Lists the days on which a fault was found, and plays them again.

    python -m bench.findings                          lists them
    python -m bench.findings BENCH SITES --why TEXT   plays them, prints a table

Hunted days and incidents are kept as tokens in `journal/incidents`, from which
the users' bench plays them again.
"""

import pathlib
import re
import subprocess
import sys
from typing import NamedTuple

import defopt

BROKEN = re.compile(r"^rules broken: (.*)$", re.MULTILINE)


class Finding(NamedTuple):
    """A day on which something was wrong.

    Attributes:
        site: Stem of the site file.
        day: Name of the day, of an incident or of a hunted day.
        verb: How the bench plays it: "run" or "replay".
        seen: What was wrong.
        test: The test that shows it without the bench.
    """

    site: str
    day: str
    verb: str
    seen: str
    test: str


FINDINGS = (
    Finding(
        "gardiens-dakar",
        "quiet-1",
        "run",
        "CONFIG: parts of a split route off their weights",
        "test_few_requests_per_daemon_follow_the_weights",
    ),
    Finding(
        "kowhai-gateway",
        "trouble-3",
        "run",
        "CONFIG: a watch waited on a silent store past its return",
        "test_return_of_an_unresponsive_store_is_noticed_at_any_time",
    ),
    Finding(
        "gardiens-dakar",
        "hunt-4216-7",
        "replay",
        "LOST: a try was ended when a sign of life was lost",
        "test_attempt_continues_when_only_the_probe_is_lost",
    ),
    Finding(
        "gardiens-dakar",
        "inc-f358",
        "replay",
        "32 MB between zones by large documents in series",
        "test_large_document_takes_few_bytes_between_daemons",
    ),
    Finding(
        "kowhai-gateway",
        "inc-337f",
        "replay",
        "reads late whose answers were lost; open",
        "test_lost_response_to_a_read_is_replaced_by_a_hedge",
    ),
)


def main(bench: str = "", sites: str = "", *, why: str = "") -> int:
    """Lists the findings, or plays them if a bench is given.

    The exit status is 1 if a rule was broken or a day was not played.

    Args:
        bench: Path of the users' bench.
        sites: Folder of the site files.
        why: Reason, for the bench's journal.
    """
    failed = False
    print("| day | site | seen then | test | broken now |")
    print("|---|---|---|---|---|")
    for finding in FINDINGS:
        now = _play(bench, sites, why, finding) if bench else "not played"
        failed |= bool(bench) and now != "none"
        print(
            f"| {finding.day} | {finding.site} | {finding.seen} |"
            f" {finding.test} | {now} |"
        )
    return int(failed)


def _play(bench: str, sites: str, why: str, finding: Finding) -> str:
    site = str(pathlib.Path(sites) / f"{finding.site}.toml")
    done = subprocess.run(
        [bench, finding.verb, site, finding.day, "--why", why],
        capture_output=True, text=True, check=False,
    )  # fmt: skip
    if not re.search(rf"^{re.escape(finding.day)} ", done.stdout, re.MULTILINE):
        return "not played"
    broken = BROKEN.search(done.stdout)
    return broken.group(1) if broken else "none"


if __name__ == "__main__":
    sys.exit(defopt.run(main))
