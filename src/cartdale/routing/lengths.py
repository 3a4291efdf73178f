"""Output length statistics and the remaining length of a generation.

Each shape keeps a sliding window of observed lengths, so that estimates
follow a drift. The empirical survival function gives the probability that
a generation with ``n`` tokens continues past ``n + h``.
"""

from bisect import bisect_right
from dataclasses import dataclass, field, replace
from functools import cache

WINDOW_SIZE = 512
#: Shapes with fewer observations fall back to the service's profile.
MIN_OBSERVATIONS = 24
#: Memory is forecast for these numbers of further tokens per generation.
HORIZONS = (0, 32, 128, 384, 1024, 3072)
AGE_STEP_TOKENS = 16
_REFRESH_INTERVAL = 8
_PRIOR_LENGTHS = (16, 32, 64, 96, 128, 192, 256, 384, 512, 1024, 2048, 4096)


@dataclass(frozen=True, slots=True)
class LengthProfile:
    """Observed output lengths of one shape, in tokens.

    :param recent: the last observations, oldest first.
    :param ordered: the same, sorted, as of the last refresh.
    :param unsorted: observations since the last refresh.
    :param rows_by_bucket: cached survivals, computed from ``ordered``.
    """

    recent: tuple[int, ...] = ()
    ordered: tuple[int, ...] = _PRIOR_LENGTHS
    unsorted: int = 0
    rows_by_bucket: dict[int, tuple[float, ...]] = field(
        default_factory=dict, compare=False, repr=False
    )

    def observe(self, length: int) -> 'LengthProfile':
        """Return the profile with one more observation."""
        recent = (*self.recent, length)[-WINDOW_SIZE:]
        unsorted = self.unsorted + 1
        if unsorted < _REFRESH_INTERVAL and self.recent:
            return replace(self, recent=recent, unsorted=unsorted)
        known = (
            recent
            if len(recent) >= MIN_OBSERVATIONS
            else (*recent, *_PRIOR_LENGTHS)
        )
        return LengthProfile(recent, tuple(sorted(known)), 0)

    def survival(self, produced: int, more: int) -> float:
        """Return the probability of output past ``produced + more``.

        :param produced: tokens produced so far.
        :param more: further tokens.
        """
        total = len(self.ordered)
        alive = total - bisect_right(self.ordered, produced)
        if not alive:
            # Beyond all observations, extrapolate with a power law.
            return produced / (produced + more) if produced else 0
        later = total - bisect_right(self.ordered, produced + more)
        return later / alive

    def survivals(self, produced: int) -> tuple[float, ...]:
        """Return the survival at each of ``HORIZONS``, cached.

        ``produced`` is rounded down to a multiple of ``AGE_STEP_TOKENS``.
        """
        bucket = produced // AGE_STEP_TOKENS
        row = self.rows_by_bucket.get(bucket)
        if row is None:
            age = bucket * AGE_STEP_TOKENS
            row = tuple(
                self.survival(age, horizon) if horizon else float(1)
                for horizon in HORIZONS
            )
            self.rows_by_bucket[bucket] = row
        return row

    def mean(self) -> float:
        """Return the mean length."""
        return sum(self.ordered) / len(self.ordered)


@dataclass(frozen=True, slots=True)
class LengthStatistics:
    """Length profiles by shape; a shape is ``service/detail``."""

    profiles_by_shape: dict[str, LengthProfile] = field(default_factory=dict)

    def observe(self, shape: str, length: int) -> 'LengthStatistics':
        """Return the statistics after a generation ended."""
        after = dict(self.profiles_by_shape)
        for key in dict.fromkeys((shape, service_shape(shape))):
            after[key] = after.get(key, LengthProfile()).observe(length)
        return LengthStatistics(after)

    def find(self, shape: str) -> LengthProfile:
        """Return the most specific profile with enough observations."""
        narrow = self.profiles_by_shape.get(shape)
        if narrow is not None and len(narrow.recent) >= MIN_OBSERVATIONS:
            return narrow
        wide = self.profiles_by_shape.get(service_shape(shape))
        return wide or _DEFAULT


_DEFAULT = LengthProfile()


def service_shape(shape: str) -> str:
    """Return the shape that covers the whole service."""
    return shape.partition('/')[0]


@cache
def describe_shape(service: str, size_class: int) -> str:
    """Return the shape of a prompt.

    :param size_class: binary logarithm of the prompt's tokens.
    """
    return f'{service}/{size_class}'
