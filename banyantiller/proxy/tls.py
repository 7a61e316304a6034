"""TLS contexts from the settings, by the standard library."""

import ssl

from banyantiller.config.defaults import TlsFiles


def for_callers(files: TlsFiles | None) -> ssl.SSLContext | None:
    """Returns the context of the listener, or None without TLS.

    Callers must show a certificate when `trust` is set.
    """
    if files is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(files.certificate, files.key or None)
    context.set_alpn_protocols(["http/1.1"])
    if files.trust:
        context.load_verify_locations(files.trust)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def for_backends(files: TlsFiles | None) -> ssl.SSLContext | None:
    """Returns the context towards backend servers, or None without TLS."""
    if files is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=files.trust or None
    )
    if files.certificate:
        context.load_cert_chain(files.certificate, files.key or None)
    return context
