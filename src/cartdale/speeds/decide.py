"""Compose what is believed of upstreams from samples and merged times."""

from dataclasses import dataclass, replace
from math import log

from cartdale.clock import SECOND_MS, Millis
from cartdale.speeds.lasting import find_trust
from cartdale.speeds.moments import MomentTraits
from cartdale.speeds.types import (
    Moment,
    Observations,
    UpstreamSpeed,
)

#: Age up to which the numbers of running and waiting requests are believed.
LOAD_FRESH: Millis = SECOND_MS
#: Relative change of a factor that operators are told.
_NOTABLE_CHANGE = 0.15
#: Trust in a factor from which they are told.
_NOTABLE_TRUST = 0.6
_PERCENT = 100
#: A prime below two bytes, so that starts differ in their remainder.
_INCARNATIONS = 65_521
#: Bounds of what peers may tell of a moment.
_MOST_REQUESTS = 999_999
_LEAST_PERCENT = 5
_MOST_PERCENT = 5000
_OLDEST: Millis = 10 * SECOND_MS


@dataclass(frozen=True, slots=True)
class TakenSample:
    """Hold the last sample of an upstream.

    :param at: when it was taken, in monotonic milliseconds.
    :param source: peer that told it; empty if it was taken here.
    """

    running: int
    waiting: int
    slowness: float
    at: Millis
    source: str = ''

    def tell(self, now: Millis) -> Moment:
        """Return the sample for peers."""
        percent = round(self.slowness * _PERCENT)
        return Moment(self.running, self.waiting, percent, now - self.at)


@dataclass(frozen=True, slots=True)
class ServiceTraits:
    """Hold what is believed of all upstreams of a service.

    :param token_time: milliseconds per token at the mean upstream; 0 if
        unknown.
    :param load_life: age up to which the reported numbers of requests count.
    """

    moments: MomentTraits = MomentTraits()
    token_time: float = 0
    load_life: Millis = LOAD_FRESH


def believe(
    factor: float,
    sample: TakenSample | None,
    traits: ServiceTraits,
    now: Millis,
) -> UpstreamSpeed:
    """Return the present belief of the speed of an upstream."""
    moments = traits.moments
    lasting = UpstreamSpeed(
        factor=factor,
        slowness=moments.mean,
        peak=moments.peak,
        slow_share=moments.slow_share,
        token_time=traits.token_time,
    )
    if sample is None:
        return lasting
    age = now - sample.at
    present = replace(lasting, slowness=moments.fade(sample.slowness, age))
    if age > traits.load_life:
        return present
    return replace(present, running=sample.running, waiting=sample.waiting)


def describe_belief(belief: UpstreamSpeed | None) -> dict[str, float]:
    """Return the fields of a log line on a belief; none without a belief."""
    if belief is None:
        return {}
    return {
        'factor': round(belief.factor, 2),
        'slowness': round(belief.slowness, 2),
    }


def read_moment(told: Moment, source: str, now: Millis) -> TakenSample | None:
    """Return the sample that a peer told; ``None`` if it can't be true."""
    plausible = (
        0 <= told.running <= _MOST_REQUESTS
        and 0 <= told.waiting <= _MOST_REQUESTS
        and _LEAST_PERCENT <= told.slowness <= _MOST_PERCENT
        and 0 <= told.age <= _OLDEST
    )
    if not plausible:
        return None
    slowness = told.slowness / _PERCENT
    return TakenSample(
        told.running, told.waiting, slowness, now - told.age, source
    )


def find_incarnation(born: Millis) -> int:
    """Return a short number for the incarnation that started at some time."""
    return born % _INCARNATIONS


def is_other_incarnation(told: int, known: int) -> bool:
    """Tell whether two numbers are certainly of different incarnations."""
    return bool(told and known) and told != known


def is_notable(
    factor: float, logged: float | None, observed: Observations
) -> bool:
    """Tell whether operators should see that a factor changed."""
    if find_trust(observed) < _NOTABLE_TRUST:
        return False
    return abs(log(factor / (logged or 1))) > _NOTABLE_CHANGE
