"""Tell failures before sending from failures after it, for httpx."""

import httpx

#: Failures before a request left this process: it certainly had no effect.
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
