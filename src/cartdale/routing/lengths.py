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
_REFRESH = 8
_PRIOR = (16, 32, 64, 96, 128, 192, 256, 384, 512, 1024, 2048, 4096)


@dataclass(frozen=True, slots=True)
class LengthProfile:
    """Hold observed output lengths of one shape, in tokens.

    :param recent: the last observations, oldest first.
    :param ordered: the same, sorted, as of the last refresh.
    """

    recent: tuple[int, ...] = ()
    ordered: tuple[int, ...] = _PRIOR
    unsorted: int = 0

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

    def mean(self) -> float:
        """Return the mean length."""
        return sum(self.ordered) / len(self.ordered)


@dataclass(frozen=True, slots=True)
class LengthBook:
    """Hold a profile for every shape; a shape is ``service/detail``."""

    profiles_by_shape: dict[str, LengthProfile] = field(default_factory=dict)

    def observe(self, shape: str, length: int) -> 'LengthBook':
        """Return the book after a generation ended."""
        after = dict(self.profiles_by_shape)
        for key in dict.fromkeys((shape, general_shape(shape))):
            after[key] = after.get(key, LengthProfile()).observe(length)
        return LengthBook(after)

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
