"""Tests that names of the platform occur in the adapter only."""

import pathlib
import re

from banyantiller.platform import headers
from banyantiller.tests import base

PACKAGE = pathlib.Path(__file__).parents[2]
FIELDS = (
    "hostname", "pathPrefix", "routeType", "timeoutS", "targetLatencyS",
    "maxAttempts", "trafficSplit", "healthPath", "maxConns", "maxHeaderBytes",
    "maxBodyBytes", "headerTimeoutS", "idleTimeoutS", "maxConcurrency",
    "warmupLeftS", "currentRev", "waitMs", "staleOk", "addrReuseS",
    "configApplyS", "graceS", "retryBudgetRatio", "api/objects",
)  # fmt: skip
NAMES = FIELDS + tuple(name.decode() for name in headers.WIRE)


class PlatformNamesTest(base.TestCase):
    def test_names_of_the_platform_occur_in_the_adapter_only(self):
        names = "|".join(map(re.escape, NAMES))
        pattern = re.compile(rf"(?<![\w-])(?:{names})(?![\w-])", re.IGNORECASE)
        found = []
        for path in PACKAGE.rglob("*.py"):
            part = path.relative_to(PACKAGE).parts[0]
            if part in ("platform", "tests"):
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if pattern.search(line):
                    found.append(f"{path.name}:{number}: {line.strip()}")
        self.assertEqual([], found)

    def test_the_adapter_contains_them(self):
        text = "".join(
            path.read_text() for path in (PACKAGE / "platform").glob("*.py")
        )
        self.assertIn("pathPrefix", text)
        self.assertIn("target-instance", text)
