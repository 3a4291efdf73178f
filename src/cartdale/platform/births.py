"""Tell starts of upstreams from numbers that can't be one."""

from cartdale.clock import HOUR_MS, Millis, SystemClock

#: Clocks of upstreams and of this machine differ by less.
_MAX_CLOCK_ERROR: Millis = 24 * HOUR_MS


def is_in_future(born: Millis) -> bool:
    """Tell whether a start is too far ahead to be one, whoever's clock is off.

    All later entries of its upstream would count as those of an earlier
    incarnation.

    :param born: Unix milliseconds.
    """
    return born > SystemClock().wall_time() + _MAX_CLOCK_ERROR
