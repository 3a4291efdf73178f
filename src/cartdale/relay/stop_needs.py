"""Estimate how long a request takes, for an instance that is to stop."""

from cartdale.fleet.types import Upstream
from cartdale.relay.ports import RelayPorts
from cartdale.relay.types import RoutedRequest
from cartdale.routes.types import RouteKind
from cartdale.scheduling.types import USUAL_SPEED
from cartdale.stopping.decide import MAX_RISK
from cartdale.stopping.types import PlainWork, StreamWork, Work

#: So few tokens take less than the allowance for a silence at any engine. The
#: pace of a service whose streams are all so short is never observed.
_SHORT_TOKENS = 32


def describe_work(
    ports: RelayPorts, routed: RoutedRequest, upstream: Upstream | None = None
) -> Work:
    """Return what is known of how long a request takes once it is sent.

    :param upstream: where it is to be sent; ``None`` while that is open.
    """
    pace = ports.fleet.pace(routed.service)
    slowness = _find_slowness(ports, upstream)
    if routed.route.kind is not RouteKind.STREAM:
        times, route = ports.answer_times, routed.route_key
        answer_time = times.find_from(route, pace.answer_time)
        return PlainWork(
            routed.ends_at,
            answer_time,
            is_timed=times.knows(route),
            is_repeatable=routed.route.repeatable,
        )
    reads = routed.request.prompt_tokens + _count_reading(ports, upstream)
    tokens = ports.lengths.find_bound(routed, MAX_RISK)
    is_short = tokens is not None and tokens <= _SHORT_TOKENS
    return StreamWork(
        ends_at=routed.ends_at,
        read_time=pace.read_time(reads) * slowness,
        tokens=tokens,
        token_time=slowness
        * ports.token_times.find_from(routed.service, pace.token_time),
        is_timed=is_short or ports.token_times.knows(routed.service),
        is_repeatable=routed.route.repeatable,
    )


def _count_reading(ports: RelayPorts, upstream: Upstream | None) -> int:
    """Return the prompt tokens that an engine reads before further ones."""
    if upstream is None:
        return 0
    return ports.fleet.load_at(upstream.entry.upstream).reading


def _find_slowness(ports: RelayPorts, upstream: Upstream | None) -> float:
    """Return how many times as long as usual work takes, at least 1."""
    if upstream is None:
        return 1
    speed = ports.fleet.speeds.find(upstream.entry.upstream, ports.clock.now())
    return max((speed or USUAL_SPEED).present, 1)
