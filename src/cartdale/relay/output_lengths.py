"""Learn how long the streams of each route get."""

from collections import deque
from dataclasses import dataclass, field
from functools import partial
from math import ceil

from cartdale.relay.types import CallerRequest, RoutedRequest

#: Routes whose lengths are kept; the one that was added first is dropped.
_MAX_ROUTES = 256
#: Streams of a route that count, the latest ones.
_KEPT = 512
_PERCENT = 100


def _make_window() -> deque[int]:
    return deque(maxlen=_KEPT)


@dataclass(frozen=True, slots=True)
class RouteLengths:
    """Hold the lengths of the latest whole streams of one route.

    :param tokens: of each stream.
    :param percent: tokens in percent of what the caller had expected, of each
        stream whose caller told.
    """

    tokens: deque[int] = field(default_factory=_make_window)
    percent: deque[int] = field(default_factory=_make_window)


class OutputLengths:
    """Learn from whole streams how many tokens further ones may get."""

    def __init__(self) -> None:
        self._lengths_by_route: dict[str, RouteLengths] = {}

    def note(self, routed: RoutedRequest, tokens: int) -> None:
        """Record the length of a whole stream.

        One that its caller resumed is left out: its begin is not known.
        """
        request = routed.request
        if not tokens or request.last_event:
            return
        known = self._find_or_add(routed.route_key)
        known.tokens.append(tokens)
        if request.expected_tokens:
            known.percent.append(tokens * _PERCENT // request.expected_tokens)

    def find_bound(self, routed: RoutedRequest, risk: float) -> int | None:
        """Return a number of tokens that a stream hardly ever exceeds.

        :param risk: chance that it gets longer, 0 to 1.
        :returns: ``None`` if nothing bounds it.
        """
        request = routed.request
        learnt = self._find_learnt(routed.route_key, request, risk)
        bounds = (learnt, request.max_tokens)
        return min((bound for bound in bounds if bound), default=None)

    def _find_or_add(self, route: str) -> RouteLengths:
        known = self._lengths_by_route.get(route)
        if known is None:
            if len(self._lengths_by_route) >= _MAX_ROUTES:
                self._lengths_by_route.pop(next(iter(self._lengths_by_route)))
            known = RouteLengths()
            self._lengths_by_route[route] = known
        return known

    def _find_learnt(
        self, route: str, request: CallerRequest, risk: float
    ) -> int:
        """Return what was learnt of a route; 0 if that is too little."""
        known = self._lengths_by_route.get(route)
        if known is None:
            return 0
        find = partial(_find_quantile, risk=risk)
        percent = find(known.percent) if request.expected_tokens else 0
        if percent:
            return request.expected_tokens * percent // _PERCENT + 1
        return find(known.tokens)


def _find_quantile(lengths: deque[int], risk: float) -> int:
    """Return what few lengths exceed; 0 with too few for such a chance."""
    count = len(lengths)
    if count * risk < 1:
        return 0
    return sorted(lengths)[ceil((1 - risk) * count) - 1]
