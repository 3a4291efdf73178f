"""Tell failures before sending from failures after it."""

import httpcore


class PathUnclearError(httpcore.ConnectError):
    """Raised when an upstream was not reached, perhaps for want of a path.

    Nothing was sent. No other instance could tell whether the upstream is at
    fault or the path from this instance.
    """


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
