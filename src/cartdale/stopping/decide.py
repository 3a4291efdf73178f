"""Decide until when work may begin, so that it ends before its instance.

A caller who is refused goes to another instance at the cost of a round trip. A
request that is cut is lost if it may run only once. So work is taken on only if
it is all but sure to end in time.
"""

from math import ceil, inf

from cartdale.clock import Millis
from cartdale.stopping.types import PlainWork, Schedule, StreamWork, Work

#: Accepted chance that work which is taken on does not end in time.
MAX_RISK = 0.01
#: A sound upstream may be silent for so long and go on as before.
_SILENCE: Millis = 1500
#: Times of single requests exceed the usual by this share.
_SLOWER_SHARE = 0.3


def find_last_start(work: Work, schedule: Schedule) -> float:
    """Return the latest time at which work may begin, in milliseconds.

    :returns: ``-inf`` if only its time limit bounds it, and that is later.
    """
    if work.ends_at <= schedule.stops_at:
        return work.ends_at
    usual = _find_usual(work)
    if usual is None:
        return -inf
    longest = ceil(usual + max(usual * _SLOWER_SHARE, _SILENCE))
    last = schedule.stops_at - longest
    if work.is_timed:
        return last
    if schedule.has_others and not work.is_repeatable:
        # A refusal costs its caller a round trip, and a cut the request.
        return -inf
    return min(last, schedule.sure_from)


def _find_usual(work: Work) -> float | None:
    """Return how long work takes, in milliseconds; ``None`` if unknown."""
    match work:
        case PlainWork(answer_time=answer_time):
            return answer_time
        case StreamWork(tokens=int(tokens)):
            return work.read_time + tokens * work.token_time
    return None
