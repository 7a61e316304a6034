"""The whole daemon of the bench gets the service of the data path alone."""

import json

from banyantiller.bundle import parsing, signing
from banyantiller.bundle.options import RequestRule
from banyantiller.tests import base
from bench import overhead_roles, overhead_whole
from standins.demo import files


class OverheadWholeTest(base.TestCase):
    def test_bundle_is_that_of_the_data_path(self) -> None:
        content = json.dumps(overhead_whole.bundle([9001, 9002]))
        (service,) = parsing.parse(content, "bundle").bundle.services
        self.assertEqual([9001, 9002], [s.port for s in service.servers])
        self.assertEqual(overhead_roles.SLOTS, service.slots)
        self.assertEqual(
            (RequestRule(True, path="/records"),), service.requests
        )

    def test_settings_name_every_key_and_no_peer(self) -> None:
        pairs = {name: signing.KeyPair.generate() for name in ("ana", "ben")}
        ports = files.DaemonPorts(1, 2, 3)
        value = overhead_whole.settings(ports, 4, pairs)
        self.assertEqual([], value["peers"]["seeds"])
        self.assertNotIn("vm_list", value)
        self.assertEqual(2, len(value["trusted_keys"]))
