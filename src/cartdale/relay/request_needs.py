"""What a request takes at an upstream."""

from cartdale.fleet.choose import READING_SHARE, RequestNeeds
from cartdale.fleet.loads import Assignment
from cartdale.fleet.types import UpstreamEntry
from cartdale.moves.estimates import ends_in_time
from cartdale.relay.types import RoutedRequest

_NOTHING: frozenset[str] = frozenset()


def make_request_needs(
    routed: RoutedRequest, excluded: frozenset[str] = _NOTHING
) -> RequestNeeds:
    """Return what a request takes at an upstream."""
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
        excluded=excluded,
        domains=routed.domains,
    )


def make_assignment(
    routed: RoutedRequest, upstream: UpstreamEntry, made: int
) -> Assignment:
    """Return the load that a request is at an upstream.

    :param made: tokens made before it came there.
    """
    needs = make_request_needs(routed)
    most = routed.request.max_tokens
    return Assignment(
        upstream.upstream,
        needs.prompt,
        needs.expected,
        made,
        short=bool(most) and ends_in_time(most),
    )
