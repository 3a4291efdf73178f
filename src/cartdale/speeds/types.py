"""What upstreams report of their load, and what is believed of their speed."""

from dataclasses import dataclass

import msgspec

from cartdale.ranges import Age, Measure, Ordinal, Total


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Hold what an upstream reports of its load in one response.

    :param running: requests that it is processing.
    :param waiting: requests in its own queue.
    :param slots: requests that it processes at a time.
    :param slowness: time that work takes there at this moment, relative to the
        usual; ``None`` if the upstream does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


class Observations(msgspec.Struct, frozen=True, array_like=True):
    """Sum up weighted observations, so that instances can merge theirs.

    :param total: sum of weight times observed value.
    :param weight: sum of the weights; 10 for an ordinary observation.
    """

    total: Measure = 0
    weight: Measure = 0

    def add(self, other: 'Observations') -> 'Observations':
        """Return the sum of two sets of observations."""
        return Observations(
            self.total + other.total, self.weight + other.weight
        )

    def scale(self, factor: float) -> 'Observations':
        """Return the observations with their weights multiplied."""
        return Observations(self.total * factor, self.weight * factor)

    @property
    def mean(self) -> float:
        """Return the weighted mean; 0 without observations."""
        return self.total / self.weight if self.weight else 0


class SpeedSums(msgspec.Struct, frozen=True, array_like=True):
    """Sum up the observed times of one incarnation of an upstream.

    Each observation is divided by the slowness at its time, so that the sums
    describe usual conditions.

    :param incarnation: distinguishes it from others of the same id; 0 if
        unknown.
    :param times: milliseconds per token of an engine, and per response of
        another upstream.
    """

    incarnation: Ordinal = 0
    times: Observations = Observations()


class Moment(msgspec.Struct, frozen=True, array_like=True):
    """Publish the last load sample of an upstream.

    :param slowness: in percent of the usual.
    :param age: time since the sample arrived at the sender of the news.
    """

    running: Total
    waiting: Total
    slowness: Total
    age: Age


class SpeedNews(msgspec.Struct, frozen=True, array_like=True):
    """Publish what an instance, or a failure domain, observed of speeds.

    The field names are left out on the wire. A further field goes to the end,
    with a default: both versions then read each other's news.
    """

    sums_by_upstream: dict[str, SpeedSums] = {}
    moments_by_upstream: dict[str, Moment] = {}


@dataclass(frozen=True, slots=True)
class SpeedsTold:
    """A peer, or the publisher of a failure domain, told what was observed.

    :param instances: number of instances that observed it.
    """

    peer: str
    speeds: SpeedNews
    instances: int = 1


@dataclass(frozen=True, slots=True)
class UpstreamSpeed:
    """Hold the present belief of the speed of an upstream.

    :param factor: time that work takes there under usual conditions, relative
        to the mean of its service; 2 for half of the speed.
    :param slowness: expected time that work takes there now, relative to the
        usual; fades to its long-term mean as the last sample gets older.
    :param peak: slowness that moments of the service reach; at least 1.
    :param slow_share: share of the time in which it is that slow, 0 to 1.
    :param token_time: milliseconds per token at the mean upstream of the
        service under usual conditions; 0 if unknown.
    :param running: requests that it reported to be processing; ``None`` without
        a recent sample.
    :param waiting: requests that it reported in its own queue.
    """

    factor: float = 1
    slowness: float = 1
    peak: float = 1
    slow_share: float = 0
    token_time: float = 0
    running: int | None = None
    waiting: int = 0

    @property
    def present(self) -> float:
        """Return the time that work takes there now, relative to the mean."""
        return self.factor * self.slowness

    @property
    def worst(self) -> float:
        """Return the time that work takes there in a slow moment."""
        return self.factor * max(self.peak, self.slowness)
