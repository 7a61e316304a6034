"""Tests of parsing decimal numbers of header fields."""

from banyantiller.tests import base
from banyantiller.utils import decimals


class DecimalsTest(base.TestCase):
    def test_number_without_sign_and_exponent_is_parsed(self):
        for text, value in (("3", 3.0), (" 1.5 ", 1.5), (".5", 0.5)):
            self.assertEqual(value, decimals.parse(text))

    def test_anything_else_is_an_error(self):
        for text in ("", ".", "-1", "1e3", "nan", "1,5", "9" * 10):
            self.assertRaises(ValueError, decimals.parse, text)
