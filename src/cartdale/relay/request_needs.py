"""Estimate the capacity that a request takes at an upstream."""

from cartdale.fleet.types import UpstreamEntry
from cartdale.moves.estimates import ends_in_time
from cartdale.relay.types import RoutedRequest
from cartdale.scheduling.choose import READING_SHARE
from cartdale.scheduling.loads import Assignment, WorkOwner
from cartdale.scheduling.types import RequestNeeds

_NO_UPSTREAMS: frozenset[str] = frozenset()


def make_request_needs(
    routed: RoutedRequest, excluded: frozenset[str] = _NO_UPSTREAMS
) -> RequestNeeds:
    """Return the capacity that a request takes at an upstream."""
    request = routed.request
    expected = request.expected_tokens or request.max_tokens // 2
    if request.max_tokens:
        expected = min(expected, request.max_tokens)
    return RequestNeeds(
        service=routed.service,
        prompt=request.prompt_tokens,
        reads=request.prompt_tokens,
        expected=expected,
        read_within=int(READING_SHARE * routed.route.target_latency),
        target_gap=routed.route.target_gap,
        short=_is_short(routed),
        excluded=excluded,
        domains=routed.domains,
    )


def make_assignment(
    routed: RoutedRequest, upstream: UpstreamEntry, made: int
) -> Assignment:
    """Return the load of a request at an upstream.

    :param made: tokens generated before it was assigned there.
    """
    needs = make_request_needs(routed)
    return Assignment(
        upstream.upstream,
        needs.prompt,
        needs.expected,
        made,
        WorkOwner(routed.service, routed.customer, routed.priority),
        short=needs.short,
    )


def _is_short(routed: RoutedRequest) -> bool:
    """Tell whether a generation ends while a leaving engine still serves."""
    max_tokens = routed.request.max_tokens
    return bool(max_tokens) and ends_in_time(max_tokens)
