"""Tell which statuses are those of final HTTP responses.

Client libraries accept other numbers of three digits too. RFC 9110, section 15,
has five classes, of which the first, informational responses, ends no request.
"""

import httpcore

_FIRST_FINAL = 200
_FIRST_OF_NO_CLASS = 600


def is_final(status: int) -> bool:
    """Tell whether a status is that of a final response."""
    return _FIRST_FINAL <= status < _FIRST_OF_NO_CLASS


def check_final(response: httpcore.Response) -> None:
    """Check that a response is a final one.

    :raises httpcore.RemoteProtocolError: if its status says otherwise, or is
        none at all.
    """
    if not is_final(response.status):
        detail = f'{response.status} is no status of a final response'
        raise httpcore.RemoteProtocolError(detail)
