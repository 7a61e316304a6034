"""Error kinds and the response that a caller gets for each.

Every failure that a caller can see is an `ErrorKind`; the list is closed.
`ERROR_RESPONSES` maps each kind to its status code, its `Proxy-Status` error
type (RFC 9209), whether a backend server executed the request, and whether
the caller may send it again.
"""

import dataclasses
import enum
from typing import NamedTuple


class Ran(enum.StrEnum):
    """Whether a backend server executed the request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(enum.StrEnum):
    """Kinds of failure that the daemon reports to a caller."""

    MALFORMED_REQUEST = "malformed_request"
    HEAD_TOO_LARGE = "head_too_large"
    AMBIGUOUS_LENGTH = "ambiguous_length"
    BODY_TOO_LARGE = "body_too_large"
    BODY_MALFORMED = "body_malformed"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TIMEOUT = "body_timeout"
    CALLER_GONE = "caller_gone"
    EXPECTATION_UNSUPPORTED = "expectation_unsupported"
    METHOD_UNSUPPORTED = "method_unsupported"
    VERSION_UNSUPPORTED = "version_unsupported"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_KEY = "unknown_key"
    ALLOWANCE_SPENT = "allowance_spent"
    ALLOWANCE_UNKNOWN = "allowance_unknown"
    NO_BUNDLE = "no_bundle"
    FENCED = "fenced"
    DRAINING = "draining"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_BEFORE_START = "deadline_before_start"
    DEADLINE_AFTER_START = "deadline_after_start"
    QUARANTINED = "quarantined"
    NO_SERVER = "no_server"
    CONNECT_FAILED = "connect_failed"
    CONNECT_TIMEOUT = "connect_timeout"
    TLS_FAILED = "tls_failed"
    BACKEND_SHED = "backend_shed"
    CONNECTION_LOST = "connection_lost"
    BACKEND_MALFORMED = "backend_malformed"
    BACKEND_INCOMPLETE = "backend_incomplete"
    BACKEND_HEAD_TOO_LARGE = "backend_head_too_large"
    BACKEND_TIMEOUT = "backend_timeout"
    KEY_MISSING = "key_missing"
    KEY_MALFORMED = "key_malformed"
    KEY_REUSED = "key_reused"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_ALREADY_RUN = "key_already_run"
    KEY_OUTCOME_UNKNOWN = "key_outcome_unknown"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    INTERNAL = "internal"


class ErrorResponse(NamedTuple):
    """Response to the caller for one kind of failure.

    Attributes:
        status: HTTP status code.
        proxy_error: Error type for `Proxy-Status`, from RFC 9209 section 2.3.
        ran: Whether a backend server executed the request.
        retry: Whether the caller may send the same request again.
    """

    status: int
    proxy_error: str
    ran: Ran
    retry: bool


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.MALFORMED_REQUEST: ErrorResponse(
        400, "http_request_error", Ran.NO, False
    ),
    ErrorKind.HEAD_TOO_LARGE: ErrorResponse(
        431, "http_request_error", Ran.NO, False
    ),
    ErrorKind.AMBIGUOUS_LENGTH: ErrorResponse(
        400, "http_request_error", Ran.NO, False
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, "http_request_error", Ran.NO, False
    ),
    ErrorKind.BODY_MALFORMED: ErrorResponse(
        400, "http_request_error", Ran.UNKNOWN, False
    ),
    ErrorKind.HEAD_TIMEOUT: ErrorResponse(
        408, "http_request_error", Ran.NO, True
    ),
    ErrorKind.BODY_TIMEOUT: ErrorResponse(
        408, "http_request_error", Ran.UNKNOWN, False
    ),
    ErrorKind.CALLER_GONE: ErrorResponse(
        499, "connection_terminated", Ran.UNKNOWN, False
    ),
    ErrorKind.EXPECTATION_UNSUPPORTED: ErrorResponse(
        417, "http_request_error", Ran.NO, False
    ),
    ErrorKind.METHOD_UNSUPPORTED: ErrorResponse(
        501, "http_request_error", Ran.NO, False
    ),
    ErrorKind.VERSION_UNSUPPORTED: ErrorResponse(
        505, "http_request_error", Ran.NO, False
    ),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(
        404, "destination_not_found", Ran.NO, False
    ),
    ErrorKind.UNKNOWN_KEY: ErrorResponse(
        401, "http_request_denied", Ran.NO, False
    ),
    ErrorKind.ALLOWANCE_SPENT: ErrorResponse(
        429, "http_request_denied", Ran.NO, True
    ),
    ErrorKind.ALLOWANCE_UNKNOWN: ErrorResponse(
        503, "proxy_internal_error", Ran.NO, True
    ),
    ErrorKind.NO_BUNDLE: ErrorResponse(
        503, "proxy_configuration_error", Ran.NO, True
    ),
    ErrorKind.FENCED: ErrorResponse(
        503, "proxy_configuration_error", Ran.NO, True
    ),
    ErrorKind.DRAINING: ErrorResponse(
        503, "proxy_internal_response", Ran.NO, True
    ),
    ErrorKind.QUEUE_FULL: ErrorResponse(
        503, "connection_limit_reached", Ran.NO, True
    ),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(
        503, "connection_limit_reached", Ran.NO, True
    ),
    ErrorKind.DEADLINE_BEFORE_START: ErrorResponse(
        504, "connection_limit_reached", Ran.NO, True
    ),
    ErrorKind.DEADLINE_AFTER_START: ErrorResponse(
        504, "http_response_timeout", Ran.UNKNOWN, False
    ),
    ErrorKind.QUARANTINED: ErrorResponse(
        503, "http_request_denied", Ran.NO, True
    ),
    ErrorKind.NO_SERVER: ErrorResponse(
        503, "destination_unavailable", Ran.NO, True
    ),
    ErrorKind.CONNECT_FAILED: ErrorResponse(
        502, "connection_refused", Ran.NO, True
    ),
    ErrorKind.CONNECT_TIMEOUT: ErrorResponse(
        504, "connection_timeout", Ran.NO, True
    ),
    ErrorKind.TLS_FAILED: ErrorResponse(
        502, "tls_protocol_error", Ran.NO, True
    ),
    ErrorKind.BACKEND_SHED: ErrorResponse(
        503, "destination_unavailable", Ran.NO, True
    ),
    ErrorKind.CONNECTION_LOST: ErrorResponse(
        502, "connection_terminated", Ran.UNKNOWN, False
    ),
    ErrorKind.BACKEND_MALFORMED: ErrorResponse(
        502, "http_protocol_error", Ran.UNKNOWN, False
    ),
    ErrorKind.BACKEND_INCOMPLETE: ErrorResponse(
        502, "http_response_incomplete", Ran.UNKNOWN, False
    ),
    ErrorKind.BACKEND_HEAD_TOO_LARGE: ErrorResponse(
        502, "http_response_header_section_size", Ran.UNKNOWN, False
    ),
    ErrorKind.BACKEND_TIMEOUT: ErrorResponse(
        504, "http_response_timeout", Ran.UNKNOWN, False
    ),
    ErrorKind.KEY_MISSING: ErrorResponse(
        400, "http_request_denied", Ran.NO, False
    ),
    ErrorKind.KEY_MALFORMED: ErrorResponse(
        400, "http_request_denied", Ran.NO, False
    ),
    ErrorKind.KEY_REUSED: ErrorResponse(
        422, "http_request_denied", Ran.NO, False
    ),
    ErrorKind.KEY_IN_PROGRESS: ErrorResponse(
        409, "http_request_denied", Ran.UNKNOWN, True
    ),
    ErrorKind.KEY_ALREADY_RUN: ErrorResponse(
        409, "http_request_denied", Ran.YES, False
    ),
    ErrorKind.KEY_OUTCOME_UNKNOWN: ErrorResponse(
        409, "http_request_denied", Ran.UNKNOWN, False
    ),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorResponse(
        503, "proxy_internal_error", Ran.NO, True
    ),
    ErrorKind.INTERNAL: ErrorResponse(
        500, "proxy_internal_error", Ran.UNKNOWN, False
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Outcome of a call that gets no response of a backend server.

    Attributes:
        error_kind: Kind of the failure.
        detail: One sentence for the caller and the log; contains no secrets.
        retry_after: Time in seconds after which a retry is useful, or None.
    """

    error_kind: ErrorKind
    detail: str = ""
    retry_after: float | None = None

    @property
    def response(self) -> ErrorResponse:
        """Response to the caller for this kind of failure."""
        return ERROR_RESPONSES[self.error_kind]
