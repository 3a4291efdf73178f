"""Attempts of a request at upstreams: their start, and what their end means.

Plain requests and streamed generations are placed, sent and counted alike.
"""

from collections.abc import Iterable

from loguru import logger

from cartdale.clock import Millis
from cartdale.fleet.choose import RequestNeeds
from cartdale.fleet.driver import Fleet
from cartdale.fleet.pace import Pace
from cartdale.fleet.types import AddressTakenOver, RequestEnded, Upstream
from cartdale.formatting import format_log_fields
from cartdale.problems.types import NotRun
from cartdale.relay.admission import NoCapacity, Waiting
from cartdale.relay.decide import (
    Answered,
    AttemptEnd,
    AttemptState,
    Broken,
    Declined,
    GiveUp,
    Step,
    TryAgain,
    Unsent,
    Withdrawn,
    Withheld,
    check_refusal,
    decide,
)
from cartdale.relay.ports import RelayPorts
from cartdale.relay.request_needs import make_request_needs
from cartdale.relay.types import (
    ExecutionStatus,
    OpenedResponse,
    RoutedRequest,
    UpstreamCall,
)
from cartdale.routes.types import RouteKind
from cartdale.switches import Mechanism


async def place(
    ports: RelayPorts, routed: RoutedRequest, tried: Iterable[str]
) -> Upstream | NoCapacity:
    """Wait for an upstream with room, while it is likely to come in time.

    All sends but those of a generation that moves begin here, so that none
    of a quarantined request passes: it would end one more upstream, and what
    others run there. One that waits stops waiting.

    :param tried: upstreams that are not chosen again.
    """
    refusal = await find_refusal(ports, routed)
    if refusal is None:
        quarantine = ports.fleet.quarantine
        needs = make_request_needs(routed, frozenset(tried))
        pace = ports.fleet.pace(routed.service)
        waiting = _describe_wait(routed, needs, pace)
        with quarantine.guard(routed.identity):
            return await ports.admission.place(waiting)
        refusal = quarantine.refuse(routed.identity, routed.request.request_id)
    return NoCapacity(refusal.retry_after, refusal.reason)


async def find_refusal(
    ports: RelayPorts, routed: RoutedRequest
) -> NotRun | None:
    """Return why a request is sent to no upstream, if it is not.

    Waits for what is still to be found out about one that is suspected.
    """
    await ports.crash_prober.settle(routed.identity)
    return ports.fleet.quarantine.find_refusal(
        routed.identity, routed.request.request_id
    )


def withdraw(routed: RoutedRequest, upstream: str) -> Withdrawn:
    """Log that a request was taken back from an engine."""
    logger.info(
        'taken back',
        request=routed.request.request_id,
        identity=routed.identity.hex(),
        upstream=upstream,
    )
    return Withdrawn()


def time_left(ports: RelayPorts, routed: RoutedRequest) -> Millis:
    """Return the time that remains for a request, 0 when it has passed."""
    return max(routed.ends_at - ports.clock.now(), 0)


def make_call(
    ports: RelayPorts,
    routed: RoutedRequest,
    upstream: Upstream,
    backup: str = '',
    last_event: bytes = b'',
) -> UpstreamCall:
    """Make the call of an attempt, with the time that is left.

    :param backup: address of the engine to keep up to date; empty for none.
    :param last_event: where the upstream goes on; empty for the start.
    """
    now = ports.clock.now()
    left = routed.ends_at - now
    logger.info(
        'placed',
        request=routed.request.request_id,
        upstream=upstream.entry.upstream,
        customer=routed.customer,
        identity=routed.identity.hex(),
        route=routed.route.name,
        version=ports.fleet.table.version,
        waited=now - routed.arrived_at,
        left=left,
        failing=round(upstream.failing, 2),
    )
    return UpstreamCall(
        routed, upstream.entry, left, last_event=last_event, backup=backup
    )


def conclude(
    ports: RelayPorts,
    routed: RoutedRequest,
    state: AttemptState,
    ended: AttemptEnd,
    upstream: str,
) -> tuple[AttemptState, Step]:
    """Count the end of an attempt, decide what follows and log it."""
    streams = routed.route.kind is RouteKind.STREAM
    _tell_fleet(ports.fleet, ended, upstream, streams=streams)
    after, step = decide(state, ended, affordable=True)
    if isinstance(step, TryAgain) and not isinstance(ended, Withheld):
        paid = ports.fleet.switches.is_enabled(
            Mechanism.RETRIES
        ) and ports.budget.withdraw(routed.service, ports.clock.now())
        after, step = decide(state, ended, affordable=paid)
    if isinstance(step, GiveUp):
        check_refusal(after, step.problem)
        step = _delay_return(ports, routed, step)
    logger.info(
        'attempt ended',
        request=routed.request.request_id,
        upstream=upstream,
        step=type(step).__name__,
        **format_log_fields('ended', ended),
    )
    return after, step


def may_choose_again(ended: AttemptEnd) -> bool:
    """Tell whether the same upstream may get a request again.

    Not while it rests, but a request may well outlast that.
    """
    match ended:
        case Withheld():
            return True
        case Declined(rests=rests):
            return rests
        case _:
            return False


def _delay_return(
    ports: RelayPorts, routed: RoutedRequest, step: GiveUp
) -> GiveUp:
    """Have a caller come back no sooner than anybody can serve it."""
    match step.problem:
        case NotRun(reason=reason, retry_after=least):
            wait = ports.admission.delay_return(
                make_request_needs(routed), least
            )
            return GiveUp(NotRun(reason, wait))
    return step


def find_decline(
    fleet: Fleet, answer: OpenedResponse, upstream: str
) -> Declined | None:
    """Return that an upstream did not run a request, if it says so.

    Another upstream at its address is told to the fleet.
    """
    match answer.execution:
        case ExecutionStatus.RAN:
            return None
        case ExecutionStatus.REPLACED:
            fleet.dispatch(AddressTakenOver(upstream))
    return Declined(rests=answer.backoff > 0)


def _describe_wait(
    routed: RoutedRequest, needs: RequestNeeds, pace: Pace
) -> Waiting:
    """Return until when a request may wait to be answered in time.

    The answer must also end before the time limit, and a stream must begin
    before its caller gives it up.
    """
    route = routed.route
    begins, ends = pace.answer_time, pace.answer_time
    if route.kind is RouteKind.STREAM:
        begins = pace.read_time(needs.reads)
        ends = begins + needs.expected * pace.token_time
    until = routed.ends_at - int(ends)
    for bound in (route.target_latency, route.caller_read_timeout):
        if bound:
            until = min(until, routed.arrived_at + bound - int(begins))
    return Waiting(
        request_id=routed.request.request_id,
        needs=needs,
        priority=routed.priority,
        arrived_at=routed.arrived_at,
        until=until,
    )


def _tell_fleet(
    fleet: Fleet, ended: AttemptEnd, upstream: str, *, streams: bool
) -> None:
    """Count an end for the choice of upstreams.

    A stream that broke before its head is lost, and the engine with it in all
    likelihood; it looks idle, and would take each next one.

    :param streams: whether the request was to be streamed.
    """
    match ended:
        case Withdrawn() | Withheld():
            """It says nothing of the upstream."""
        case Unsent():
            fleet.dispatch(RequestEnded(upstream, good=False, reached=False))
        case Broken(begun=False) if streams:
            fleet.dispatch(RequestEnded(upstream, good=False, reached=False))
        case Declined() | Broken():
            fleet.dispatch(RequestEnded(upstream, good=False))
        case Answered(good=good):
            fleet.dispatch(RequestEnded(upstream, good=good))
