"""Make HTTP clients that share one TLS context, which is costly to build."""

from functools import cache
from ssl import SSLContext

import httpx

from cartdale.bounded_pool import BoundedPool
from cartdale.transport import SHARE_PORT

#: Time for which an idle connection is kept, as the library does.
_KEPT_FOR_SECONDS = 5.0


@cache
def _default_context() -> SSLContext:
    return httpx.create_ssl_context()


def make_client(base_url: str = '') -> httpx.AsyncClient:
    """Make a client without a bound on its connections."""
    return httpx.AsyncClient(base_url=base_url, transport=BoundedTransport())


class BoundedTransport(httpx.AsyncHTTPTransport):
    """Transport whose responses have heads of a bounded size."""

    def __init__(self) -> None:
        context = _default_context()
        super().__init__(verify=context)
        # The library's transport takes no pool.
        self._pool = BoundedPool(
            ssl_context=context,
            max_connections=None,
            max_keepalive_connections=None,
            keepalive_expiry=_KEPT_FOR_SECONDS,
            socket_options=(SHARE_PORT,),
        )
