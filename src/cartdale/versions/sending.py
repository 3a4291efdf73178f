"""Bound the share of this instance's link that documents take.

All instances of a failure domain request a new version from its first holder.
Without a bound a large document fills the link for seconds, while requests,
tokens and news wait, and the last instances get it late. With one, the others
are told to wait and request it from those that have it by then.
"""

from dataclasses import dataclass, replace
from math import ceil, inf

from cartdale.clock import Millis

#: Share of the link that documents may take.
LINK_SHARE = 1 / 4
#: Bytes per millisecond of a link of one megabit per second.
_BYTES_PER_MBIT = 125


@dataclass(frozen=True, slots=True)
class SendingState:
    """Hold what documents take of the link.

    :param rate: what they may take, in bytes per millisecond.
    :param next_at: from when on the next document may be sent; one may wait
        behind the one before it, so that the share is used.
    :param free_at: when the documents sent so far have taken their share.
    """

    rate: float = inf
    next_at: float = 0
    free_at: float = 0


def limit_sending(link_mbps: float) -> SendingState:
    """Return the initial state for a link.

    :param link_mbps: its bandwidth in megabits per second.
    """
    return SendingState(link_mbps * _BYTES_PER_MBIT * LINK_SHARE)


def find_sending_wait(state: SendingState, now: Millis) -> Millis:
    """Return how long to wait before the next document may be sent."""
    return max(0, ceil(state.next_at - now))


def record_sent(state: SendingState, size: int, now: Millis) -> SendingState:
    """Return the state after a document of ``size`` bytes was sent."""
    begins_at = max(state.free_at, now)
    free_at = begins_at + size / state.rate
    return replace(state, next_at=begins_at, free_at=free_at)
