"""Learn output lengths, and what a generation of known age may still add.

Each shape keeps a sliding window of observed lengths, so that a drift is
followed; the empirical survival function gives the chance that a
generation with ``n`` tokens goes on past ``n + h``.
"""

from bisect import bisect_right
from dataclasses import dataclass, field, replace
from functools import cache

WINDOW = 512
#: Fewer observations than this fall back to the service's profile.
ENOUGH = 24
#: Further tokens of every running generation at which memory is foreseen.
HORIZONS = (0, 32, 128, 384, 1024, 3072)
AGE_STEP = 16
_REFRESH = 8
_PRIOR = (16, 32, 64, 96, 128, 192, 256, 384, 512, 1024, 2048, 4096)


@dataclass(frozen=True, slots=True)
class LengthProfile:
    """Hold observed output lengths of one shape, in tokens.

    :param recent: the last observations, oldest first.
    :param ordered: the same, sorted, as of the last refresh.
    :param rows_by_bucket: survivals already worked out from ``ordered``.
    """

    recent: tuple[int, ...] = ()
    ordered: tuple[int, ...] = _PRIOR
    unsorted: int = 0
    rows_by_bucket: dict[int, tuple[float, ...]] = field(
        default_factory=dict, compare=False, repr=False
    )

    def observe(self, length: int) -> 'LengthProfile':
        """Return the profile with one more observation."""
        recent = (*self.recent, length)[-WINDOW:]
        unsorted = self.unsorted + 1
        if unsorted < _REFRESH and self.recent:
            return replace(self, recent=recent, unsorted=unsorted)
        known = recent if len(recent) >= ENOUGH else (*recent, *_PRIOR)
        return LengthProfile(recent, tuple(sorted(known)), 0)

    def survival(self, produced: int, more: int) -> float:
        """Return the chance that output goes on past ``produced + more``.

        :param produced: tokens produced so far.
        :param more: further tokens.
        """
        total = len(self.ordered)
        alive = total - bisect_right(self.ordered, produced)
        if not alive:
            # Beyond everything seen: as long again, by a power law.
            return produced / (produced + more) if produced else 0
        later = total - bisect_right(self.ordered, produced + more)
        return later / alive

    def survivals(self, produced: int) -> tuple[float, ...]:
        """Return the survival at each of ``HORIZONS``, kept for reuse.

        Ages are taken in steps of ``AGE_STEP`` tokens.
        """
        bucket = produced // AGE_STEP
        row = self.rows_by_bucket.get(bucket)
        if row is None:
            age = bucket * AGE_STEP
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
    """Hold a profile for every shape; a shape is ``service/detail``."""

    profiles_by_shape: dict[str, LengthProfile] = field(default_factory=dict)

    def observe(self, shape: str, length: int) -> 'LengthStatistics':
        """Return the book after a generation ended."""
        after = dict(self.profiles_by_shape)
        for key in dict.fromkeys((shape, general_shape(shape))):
            after[key] = after.get(key, LengthProfile()).observe(length)
        return LengthStatistics(after)

    def find(self, shape: str) -> LengthProfile:
        """Return the narrowest profile with enough observations."""
        narrow = self.profiles_by_shape.get(shape)
        if narrow is not None and len(narrow.recent) >= ENOUGH:
            return narrow
        wide = self.profiles_by_shape.get(general_shape(shape))
        return wide or _DEFAULT


_DEFAULT = LengthProfile()


def general_shape(shape: str) -> str:
    """Return the service's own shape."""
    return shape.partition('/')[0]


@cache
def describe_shape(service: str, size_class: int) -> str:
    """Return the shape of a prompt.

    :param size_class: binary logarithm of the prompt's tokens.
    """
    return f'{service}/{size_class}'
