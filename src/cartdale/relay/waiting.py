"""Requests that may have to wait for capacity, and those that got none."""

from dataclasses import dataclass

from cartdale.clock import SECOND_MS, Millis
from cartdale.problems.types import NotRunReason
from cartdale.scheduling.candidates import UnavailableReason
from cartdale.scheduling.types import RequestNeeds

#: Between checks for capacity that no message announced.
CHECK_INTERVAL: Millis = 40
#: A request waits if it is more likely to be served than not.
MIN_CHANCE = 0.5
#: Lower bound for a request that already waits: loads differ at each check, and
#: a refusal after a wait costs the caller more than an immediate one.
MIN_CHANCE_WAITING = 0.2
#: Without any upstream there is no forecast. When all upstreams are replaced at
#: once, the new list arrives within this time.
_MAX_UNKNOWN_WAIT: Millis = SECOND_MS // 4
#: Retry delay when there is no forecast.
UNKNOWN_RETRY: Millis = SECOND_MS
#: Bounds of the retry delay of a refused caller.
MIN_RETRY_AFTER: Millis = 100
MAX_RETRY_AFTER: Millis = 10 * SECOND_MS
#: Reasons that only the operator can remove: requests don't wait for that.
OPERATOR_REASONS = frozenset(
    (UnavailableReason.EVACUATED, UnavailableReason.REGION)
)


@dataclass(frozen=True, slots=True)
class NoCapacity:
    """No upstream has capacity for a request in time.

    :param retry_after: when there may be capacity.
    :param reason: reported to the caller.
    """

    retry_after: Millis
    reason: NotRunReason = NotRunReason.NO_UPSTREAM


@dataclass(frozen=True, slots=True)
class Waiting:
    """Describe a request that may have to wait.

    :param until: latest time at which it can be sent to be answered within its
        target latency, in monotonic milliseconds.
    :param customer: sender; empty on routes without keys.
    :param stay: expected time from its admission to its end.
    :param identity: digest shared by all submissions of the request; empty if
        it is not known.
    """

    request_id: str
    needs: RequestNeeds
    priority: int
    arrived_at: Millis
    until: Millis
    customer: str = ''
    stay: Millis = 0
    identity: bytes = b''


def find_unknown_wait(unavailable_reason: UnavailableReason) -> Millis:
    """Return how long a request waits without a forecast.

    Not at all if the rate limits left this instance no share: it gets none
    soon.
    """
    return (
        0
        if unavailable_reason is UnavailableReason.LIMITED
        else _MAX_UNKNOWN_WAIT
    )
