"""Make HTTP clients that share one TLS context, which is costly to build."""

from functools import cache
from ssl import SSLContext, create_default_context

import httpcore
import httpx

from cartdale.settings.types import Tls


@cache
def _default_context() -> SSLContext:
    return httpx.create_ssl_context()


def make_client(base_url: str = '') -> httpx.AsyncClient:
    """Make a client without a bound on its connections."""
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=None)
    return httpx.AsyncClient(
        base_url=base_url, verify=_default_context(), limits=limits
    )


def make_peer_pool(tls: Tls | None) -> httpcore.AsyncConnectionPool:
    """Make connections to peers that show this instance's certificate."""
    if tls is None:
        return httpcore.AsyncConnectionPool(
            _default_context(), max_connections=None
        )
    context = create_default_context(cafile=tls.authority or None)
    context.load_cert_chain(tls.certificate, tls.key)
    return httpcore.AsyncConnectionPool(context, max_connections=None)
