"""Ranges of the numbers, addresses and ports that come from outside.

A number that is accepted can be added up over all upstreams and instances,
converted between units, waited for, logged, and sent to other instances, whose
messages hold integers of 64 bits. Each range reaches far beyond sound values.
"""

from typing import Annotated, Final

from msgspec import Meta

_INTEGER_BITS: Final = 63
_COUNT_BITS: Final = 31
_SPAN_BITS: Final = 42
#: Integers that a float holds exactly.
_TOTAL_BITS: Final = 53
#: Sums of a thousand of these, and their products with units, stay integers of
#: 64 bits; as milliseconds these are 139 years.
LARGEST: Final = (1 << _SPAN_BITS) - 1
_LARGEST_TOTAL: Final = 1 << _TOTAL_BITS
_LARGEST_INTEGER: Final = (1 << _INTEGER_BITS) - 1
_LARGEST_REAL: Final = 1e15
#: Bits of a revision of the platform's store: enough for 400 writes a second
#: over a thousand years.
REVISION_BITS: Final = 44
#: The most that a 64-bit integer holds above a revision.
LARGEST_ERA: Final = (1 << (_INTEGER_BITS - REVISION_BITS)) - 1
_LARGEST_COUNT: Final = (1 << _COUNT_BITS) - 1
_LARGEST_PORT: Final = 65535

_PORT: Final = (
    '([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}'
    '|655[0-2][0-9]|6553[0-5])'
)
#: Labels of a name have at most 63 letters; sockets raise other errors for
#: longer and for empty ones than for names that nobody has.
_LABEL: Final = '[0-9A-Za-z_-]{1,63}'
_HOST: Final = rf'({_LABEL}([.]{_LABEL})*[.]?|\[[0-9A-Fa-f:.]{{2,45}}\])'

#: Requests, slots, connections, instances or attempts.
Count = Annotated[int, Meta(ge=0, le=_LARGEST_COUNT)]
#: Like a count, but at least one.
PositiveCount = Annotated[int, Meta(ge=1, le=_LARGEST_COUNT)]
#: A rank or another small number of either sign.
SmallInteger = Annotated[int, Meta(ge=-_LARGEST_COUNT, le=_LARGEST_COUNT)]
#: Tokens or bytes.
Size = Annotated[int, Meta(ge=0, le=LARGEST)]
#: Milliseconds.
Span = Annotated[int, Meta(ge=0, le=LARGEST)]
#: Milliseconds, with a fraction.
FractionalSpan = Annotated[float, Meta(ge=0, le=LARGEST)]
#: Milliseconds of either sign, with a fraction.
SignedFractionalSpan = Annotated[float, Meta(ge=-LARGEST, le=LARGEST)]
#: Milliseconds since an event at a peer, whose clock may be off.
Age = Annotated[int, Meta(ge=-LARGEST, le=LARGEST)]
#: A sum over requests, instances or customers, as a peer counts it.
Total = Annotated[int, Meta(ge=-_LARGEST_TOTAL, le=_LARGEST_TOTAL)]
#: Identifies something, or orders it: an incarnation, a version, a lease.
Ordinal = Annotated[int, Meta(ge=0, le=_LARGEST_INTEGER)]
#: Any integer that can be passed on.
Integer = Annotated[int, Meta(ge=-_LARGEST_INTEGER, le=_LARGEST_INTEGER)]
#: Milliseconds since the Unix epoch.
WallTime = Annotated[int, Meta(ge=0, le=_LARGEST_TOTAL)]
#: Revision of the platform's store.
Revision = Annotated[int, Meta(ge=0, le=(1 << REVISION_BITS) - 1)]
#: A weight, rate, bandwidth or the like.
Amount = Annotated[float, Meta(ge=0, le=_LARGEST_REAL)]
#: A rate that may be infinite, for no limit; not NaN.
Rate = Annotated[float, Meta(ge=0)]
#: A weighted sum of measurements.
Measure = Annotated[float, Meta(ge=-_LARGEST_REAL, le=_LARGEST_REAL)]
Port = Annotated[int, Meta(ge=1, le=_LARGEST_PORT)]
#: Name or number of a machine.
Host = Annotated[str, Meta(pattern=rf'\A{_HOST}\Z')]
#: ``IP:PORT``.
Address = Annotated[str, Meta(pattern=rf'\A{_HOST}:{_PORT}\Z')]

#: Text that a header can carry.
HeaderText = Annotated[str, Meta(pattern=r'\A[!-~]*\Z')]


def clamp(number: float) -> int:
    """Return a number from outside as one that can be passed on.

    :param number: not NaN; what is beyond the range counts as its end.
    """
    return int(min(max(number, 0), LARGEST))
