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


def is_refusal(error: Exception) -> bool:
    """Tell whether a connection was refused, not left without an answer."""
    return not isinstance(error, httpcore.TimeoutException)


def make_connect_error(
    detail: str, *, refused: bool
) -> httpcore.ConnectError | httpcore.ConnectTimeout:
    """Return the error of a connection that was not opened.

    :param refused: whether it was refused, not left without an answer.
    """
    if refused:
        return httpcore.ConnectError(detail)
    return httpcore.ConnectTimeout(detail)


#: What is raised once a request may have had an effect.
HTTPCORE_UNKNOWN_OUTCOME_ERRORS = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)
