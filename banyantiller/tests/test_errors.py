"""Tests of the responses to error kinds."""

from banyantiller import errors
from banyantiller.tests import base


class ErrorResponsesTest(base.TestCase):
    def test_every_error_kind_has_a_response(self) -> None:
        self.assertEqual(set(errors.ErrorKind), set(errors.ERROR_RESPONSES))

    def test_only_requests_that_did_not_run_may_be_retried(self) -> None:
        for kind, response in errors.ERROR_RESPONSES.items():
            if response.retry and kind is not errors.ErrorKind.KEY_IN_PROGRESS:
                self.assertEqual(errors.Ran.NO, response.ran, kind)
