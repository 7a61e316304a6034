"""Checks a new request before a backend server is selected."""

from typing import TYPE_CHECKING

from banyantiller.errors import ErrorKind, Failure
from banyantiller.proxy import headers, keyed_calls, matching
from banyantiller.quarantine import fingerprint

if TYPE_CHECKING:
    from banyantiller.proxy import call as calls
    from banyantiller.proxy import proxy as proxies

MAX_DEADLINE_S = 3600.0
RETRY_AFTER_S = 1.0
HTTP_VERSIONS = (b"1.1", b"1.0")
IGNORED_UPGRADES = (b"", b"h2c")
EXPECT_CONTINUE = (b"", b"100-continue")
# Identifies the caller; equal each time that a request is repeated.
IDENTITY_HEADER = b"authorization"

# Refusals that may not apply under another bundle.
BUNDLE_DEPENDENT_KINDS = (ErrorKind.UNKNOWN_SERVICE, ErrorKind.KEY_MISSING)
OUTDATED_DETAIL = "A newer bundle may be accepted that is not in force here."


def admit(proxy: "proxies.Proxy", call: "calls.Call") -> Failure | None:
    """Checks a request and sets what the call needs to be forwarded.

    Returns:
        The failure to respond with, or None if the request is admitted.
    """
    return (
        _check_state(proxy)
        or _check_head(call)
        or _check_length(proxy, call)
        or _check_bundle(proxy, call)
    )


def _check_state(proxy: "proxies.Proxy") -> Failure | None:
    if proxy.refusing:
        return Failure(ErrorKind.DRAINING, "", RETRY_AFTER_S)
    if proxy.fenced:
        return Failure(ErrorKind.FENCED, "", RETRY_AFTER_S)
    if proxy.version == 0:
        return Failure(ErrorKind.NO_BUNDLE, "", RETRY_AFTER_S)
    return None


def _check_head(call: "calls.Call") -> Failure | None:
    request = call.request
    head = call.head
    if request.http_version not in HTTP_VERSIONS:
        return Failure(ErrorKind.VERSION_UNSUPPORTED)
    if request.method == b"CONNECT":
        return Failure(ErrorKind.METHOD_UNSUPPORTED, "CONNECT is not served.")
    if head.upgrade not in IGNORED_UPGRADES:
        return Failure(ErrorKind.METHOD_UNSUPPORTED, "Upgrade is not served.")
    if head.expect not in EXPECT_CONTINUE:
        return Failure(ErrorKind.EXPECTATION_UNSUPPORTED)
    return None


def _check_length(proxy: "proxies.Proxy", call: "calls.Call") -> Failure | None:
    length = call.head.content_length
    if length is None:
        return None
    if call.head.chunked:
        detail = "Both Content-Length and Transfer-Encoding are given."
        return Failure(ErrorKind.AMBIGUOUS_LENGTH, detail)
    if length > proxy.settings.callers.max_body_bytes:
        return Failure(ErrorKind.BODY_TOO_LARGE)
    return None


def _check_bundle(proxy: "proxies.Proxy", call: "calls.Call") -> Failure | None:
    failure = _match_service(proxy, call) or _check_key(call)
    if failure is None or failure.error_kind not in BUNDLE_DEPENDENT_KINDS:
        return failure
    if proxy.is_outdated():
        # A final refusal would end a request that the accepted bundle
        # serves; that bundle may be in force after the pause or at a peer.
        return Failure(ErrorKind.NO_BUNDLE, OUTDATED_DETAIL, RETRY_AFTER_S)
    return failure


def _match_service(
    proxy: "proxies.Proxy", call: "calls.Call"
) -> Failure | None:
    target = matching.split_target(call.request.target)
    if target is None:
        return Failure(ErrorKind.MALFORMED_REQUEST, "The target is not valid.")
    host = target.host or call.head.host.decode("latin-1")
    driver = proxy.services.routes.find(host, target.path)
    if driver is None:
        return Failure(ErrorKind.UNKNOWN_SERVICE)
    service = driver.service
    call.driver = driver
    call.service = service
    call.path = target.path
    call.target = target.forward
    call.host = host
    call.idempotent = matching.is_idempotent(
        service, call.request.method.decode("ascii"), target.path
    )
    remaining_s = call.head.remaining_s
    if remaining_s is None:
        remaining_s = service.deadline_s
    call.deadline = call.started_at + min(remaining_s, MAX_DEADLINE_S)
    call.fields = _backend_fields(proxy, call, host)
    call.fingerprint = fingerprint.Fingerprint(
        call.request.method,
        host.encode("latin-1"),
        call.target,
        headers.get(call.head.fields, IDENTITY_HEADER) or b"",
    )
    return None


def _check_key(call: "calls.Call") -> Failure | None:
    if call.idempotent:
        return None
    key = keyed_calls.read_key(call.service, call.head.fields)
    if isinstance(key, Failure):
        return key
    if key:
        call.key = key
        call.claim = keyed_calls.KeyedCall(call, key)
    return None


def _backend_fields(
    proxy: "proxies.Proxy", call: "calls.Call", host: str
) -> list[headers.Field]:
    head = call.head
    fields = [(b"Host", b"host", host.encode("latin-1")), *head.fields]
    if head.content_length is not None:
        length = b"%d" % head.content_length
        fields.append((b"Content-Length", b"content-length", length))
    elif head.chunked:
        fields.append(headers.CHUNKED)
    fields.append(proxy.via)
    name = headers.REQUEST_ID_HEADER
    fields.append((name, name, call.request_id))
    traceparent = head.traceparent or proxy.new_traceparent()
    fields.append((b"traceparent", b"traceparent", traceparent))
    return fields
