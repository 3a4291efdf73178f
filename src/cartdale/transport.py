"""Tell failures before sending from failures after it."""

import httpcore

#: Failures before a request left this process: it certainly had no effect.
HTTPCORE_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
#: What is raised once a request may have had an effect.
HTTPCORE_UNKNOWN_OUTCOME_ERRORS = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)
