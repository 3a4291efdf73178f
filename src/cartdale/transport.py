"""Tell failures before sending from failures after it."""

import httpcore
import httpx

#: Failures before a request left this process: it certainly had no effect.
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
#: The same where requests go below httpx.
CORE_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
#: What is raised below httpx once a request may have had an effect.
CORE_BROKEN = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)
