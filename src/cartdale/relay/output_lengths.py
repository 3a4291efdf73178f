"""Learn how long the streams of each route get."""

from dataclasses import dataclass

from cartdale.relay.types import CallerRequest, RoutedRequest
from cartdale.routing.lengths import LengthProfile

#: Routes whose lengths are kept; the one that was added first is dropped.
_MAX_ROUTES = 256
_PERCENT = 100
_NOTHING_OBSERVED = LengthProfile()


@dataclass(frozen=True, slots=True)
class RouteLengths:
    """Hold the lengths of the streams of one route.

    :param tokens: of whole streams.
    :param percent: tokens of whole streams, in percent of what their callers
        had expected.
    """

    tokens: LengthProfile = _NOTHING_OBSERVED
    percent: LengthProfile = _NOTHING_OBSERVED


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
        route = routed.route_key
        known = self._lengths_by_route.get(route)
        if known is None and len(self._lengths_by_route) >= _MAX_ROUTES:
            self._lengths_by_route.pop(next(iter(self._lengths_by_route)))
        known = known or RouteLengths()
        percent = known.percent
        if request.expected_tokens:
            percent = percent.observe(
                tokens * _PERCENT // request.expected_tokens
            )
        self._lengths_by_route[route] = RouteLengths(
            known.tokens.observe(tokens), percent
        )

    def find_bound(self, routed: RoutedRequest, risk: float) -> int | None:
        """Return a number of tokens that a stream hardly ever exceeds.

        :param risk: chance that it gets longer, 0 to 1.
        :returns: ``None`` if nothing bounds it.
        """
        request = routed.request
        learnt = self._find_learnt(routed.route_key, request, risk)
        bounds = (learnt, request.max_tokens)
        return min((bound for bound in bounds if bound), default=None)

    def _find_learnt(
        self, route: str, request: CallerRequest, risk: float
    ) -> int:
        """Return what was learnt of a route; 0 if that is too little."""
        known = self._lengths_by_route.get(route, RouteLengths())
        if request.expected_tokens and _is_known(known.percent, risk):
            percent = known.percent.quantile(1 - risk)
            return request.expected_tokens * percent // _PERCENT + 1
        if _is_known(known.tokens, risk):
            return known.tokens.quantile(1 - risk)
        return 0


def _is_known(profile: LengthProfile, risk: float) -> bool:
    """Tell whether there are enough observations for such a chance."""
    return len(profile.recent) * risk >= 1
