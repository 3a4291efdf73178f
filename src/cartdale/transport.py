"""Tell failures before sending from failures after it."""

import httpcore

#: Failures before a request left this process: it certainly had no effect.
CORE_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
#: What is raised once a request may have had an effect.
CORE_BROKEN = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)
