"""Connection pool for requests to other instances."""

import httpcore

from cartdale.bounded_pool import BoundedPool
from cartdale.settings.types import Tls
from cartdale.transport import SHARE_PORT

_SOCKET_OPTIONS = (SHARE_PORT,)


def make_peer_pool(tls: Tls | None) -> httpcore.AsyncConnectionPool:
    """Return a connection pool that presents this instance's certificate.

    Without TLS, no certificates are read: reading them is the most expensive
    step of an instance's start.
    """
    if tls is None:
        return BoundedPool(max_connections=None, socket_options=_SOCKET_OPTIONS)
    from ssl import create_default_context  # noqa: PLC0415

    context = create_default_context(cafile=tls.authority or None)
    context.load_cert_chain(tls.certificate, tls.key)
    return BoundedPool(
        context, max_connections=None, socket_options=_SOCKET_OPTIONS
    )
