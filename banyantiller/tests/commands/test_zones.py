"""Tests of the command that shows, evacuates and gives back zones."""

from banyantiller.tests.commands import test_cli


class ZonesTest(test_cli.CliTestCase):
    def setUp(self):
        super().setUp()
        self.roll(self.prepare("b.yaml"))

    def roll(self, digest):
        """Rolls a signed bundle."""
        self.do("roll", digest, by="cy")

    def change(self, *argv):
        """Proposes, signs and rolls a change of zones."""
        proposed = self.do("zones", *argv, by="ana")
        self.do("sign", proposed["digest"][:12], by="ben")
        self.roll(proposed["digest"])
        return proposed

    def states(self):
        """Returns the state of each zone by service."""
        rows = self.do("zones", by="ana")
        return {(row["service"], row["zone"]): row["state"] for row in rows}

    def test_all_zones_are_shown(self):
        wanted = {
            ("archive", ""): "in use",
            ("desk", "zone-1"): "in use",
            ("desk", "zone-2"): "in use",
        }
        self.assertEqual(wanted, self.states())
        printed = self.run_cli("zones", by="ana").out
        self.assertIn("zone-1", printed)

    def test_zone_is_evacuated_and_given_back_as_signed_bundles(self):
        proposed = self.change("zone-2")
        paths = [change["path"] for change in proposed["changes"]]
        self.assertEqual(["services[desk].evacuated_zones[0]"], paths)
        self.assertEqual("evacuated", self.states()["desk", "zone-2"])
        self.assertEqual("in use", self.states()["desk", "zone-1"])
        self.change("zone-2", "--give-back")
        self.assertEqual("in use", self.states()["desk", "zone-2"])

    def test_proposal_alone_changes_nothing(self):
        self.do("zones", "zone-2", by="ana")
        self.assertEqual("in use", self.states()["desk", "zone-2"])

    def test_zone_that_nobody_knows_is_refused(self):
        found = self.run_cli("zones", "zone-9", by="ana")
        self.assertEqual(1, found.status)
        self.assertIn("No server is in zone 'zone-9'", found.err)

    def test_change_that_changes_nothing_is_refused(self):
        found = self.run_cli("zones", "zone-1", "--give-back", by="ana")
        self.assertEqual(1, found.status)
        self.assertIn("'zone-1' is in use already", found.err)
