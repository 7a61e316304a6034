"""Tests of the table of error kinds."""

from banyantiller import errors
from banyantiller.tests import base


class AnswersTest(base.TestCase):
    def test_every_kind_has_an_answer(self) -> None:
        self.assertEqual(set(errors.ErrorKind), set(errors.ANSWERS))

    def test_only_requests_not_known_to_run_may_be_sent_again(self) -> None:
        for kind, answer in errors.ANSWERS.items():
            if answer.retry and kind is not errors.ErrorKind.KEY_IN_PROGRESS:
                self.assertEqual(errors.Ran.NO, answer.ran, kind)
