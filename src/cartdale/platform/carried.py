"""Tell which texts of the store a request can carry."""

import re
from typing import Final

#: What is wrong with a text that is refused.
NO_HEADER: Final = 'a name that no header can carry'
NO_PATH: Final = 'a path that no request can carry'
#: Servers refuse heads of 8 to 64 KB, which hold the caller's headers too.
_MAX_LENGTH: Final = 1024
_HEADER = re.compile(r'(?! )[^\x00-\x1f\x7f]*(?<! )')
_PATH = re.compile('[!-~]+')


def fits_header(name: str) -> bool:
    """Tell whether a name can be the value of a header.

    Headers hold no control characters, and no spaces around their text.
    """
    return len(name) <= _MAX_LENGTH and bool(_HEADER.fullmatch(name))


def fits_request_line(path: str) -> bool:
    """Tell whether a path can be that of a request."""
    return len(path) <= _MAX_LENGTH and bool(_PATH.fullmatch(path))
