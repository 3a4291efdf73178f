"""Tell failures before sending from failures after it, as httpx raises them.

Apart from ``cartdale.transport``, so that an instance which reaches everything
below httpx does not load it at its start.
"""

import httpx

#: Failures before a request left this process: it certainly had no effect.
HTTPX_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)
