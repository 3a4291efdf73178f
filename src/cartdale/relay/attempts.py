"""Start attempts at upstreams and evaluate how they ended.

Plain requests and streamed generations share this code.
"""

from collections.abc import Iterable
from functools import partial

import trio
from loguru import logger

from cartdale.clock import Millis, as_seconds
from cartdale.fleet.driver import Fleet
from cartdale.fleet.health import find_failing
from cartdale.fleet.types import (
    AddressTakenOver,
    RequestEnded,
    Upstream,
    UpstreamEntry,
)
from cartdale.formatting import format_log_fields
from cartdale.problems.types import NotRun, NotRunReason
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
    Unwritten,
    Withdrawn,
    Withheld,
    check_refusal,
    check_runs,
    decide,
)
from cartdale.relay.ports import RelayPorts
from cartdale.relay.request_needs import make_request_needs
from cartdale.relay.send_record import NewRun, NoRunProof, SendRecord
from cartdale.relay.stop_needs import describe_work
from cartdale.relay.types import (
    ExecutionStatus,
    OpenedResponse,
    RoutedRequest,
    UpstreamCall,
)
from cartdale.relay.waiting import MIN_RETRY_AFTER, NoCapacity, Waiting
from cartdale.routes.types import RouteKind
from cartdale.scheduling.pace import Pace
from cartdale.scheduling.types import RequestNeeds
from cartdale.speeds.decide import describe_belief
from cartdale.stopping.types import Work
from cartdale.switches import Mechanism


async def place(
    ports: RelayPorts,
    routed: RoutedRequest,
    tried: Iterable[str],
    *,
    begun: bool = False,
) -> Upstream | NoCapacity:
    """Wait for an upstream with capacity while one is likely to come in time.

    All sends except those of a moving generation start here, so that a
    quarantined request is never sent: it would crash another upstream, with
    the requests of other callers there. A request that is quarantined while it
    waits stops waiting, and so does one that would outlast this instance.

    :param tried: upstreams to exclude.
    :param begun: whether its caller has a part of the response. It is cut
        otherwise, so that any time is enough.
    """
    if begun:
        return await _find_capacity(ports, routed, tried)
    find_work = partial(describe_work, ports, routed)
    with ports.stop.bound_wait(find_work, ports.clock.now()):
        placed = await _find_capacity(ports, routed, tried)
        if isinstance(placed, NoCapacity):
            return placed
        find_work = partial(find_work, placed)
        if ports.stop.allows(find_work, ports.clock.now()):
            return placed
    _log_stop(ports, routed, find_work())
    return NoCapacity(MIN_RETRY_AFTER, NotRunReason.LEAVING)


async def _find_capacity(
    ports: RelayPorts, routed: RoutedRequest, tried: Iterable[str]
) -> Upstream | NoCapacity:
    refusal = await find_refusal(ports, routed)
    if refusal is None:
        quarantine = ports.fleet.quarantine
        needs = ports.admission.leave_reading_time(
            make_request_needs(routed, frozenset(tried)), routed.priority
        )
        pace = ports.fleet.pace(routed.service)
        waiting = _describe_wait(routed, needs, pace)
        with quarantine.guard(routed.fingerprint):
            return await ports.admission.place(waiting)
        refusal = quarantine.refuse(
            routed.fingerprint, routed.request.request_id
        )
    return NoCapacity(refusal.retry_after, refusal.reason)


async def find_refusal(
    ports: RelayPorts, routed: RoutedRequest
) -> NotRun | None:
    """Return why a request must not be sent, or ``None`` if it may.

    Waits for pending crash probes if the request is a suspect.
    """
    await ports.crash_prober.settle(routed.fingerprint)
    return ports.fleet.quarantine.find_refusal(
        routed.fingerprint, routed.request.request_id
    )


def record_sends(
    ports: RelayPorts, routed: RoutedRequest, state: AttemptState
) -> SendRecord:
    """Return the record of a request that was not sent yet."""
    is_barred = partial(ports.fleet.quarantine.is_barred, routed.fingerprint)
    return SendRecord(
        routed.request.request_id,
        state.may_run,
        is_barred,
        partial(_ends_in_time, ports, routed),
    )


def _ends_in_time(ports: RelayPorts, routed: RoutedRequest) -> bool:
    """Tell whether a request that is sent now ends before this instance."""
    find_work = partial(describe_work, ports, routed)
    return ports.stop.allows(find_work, ports.clock.now())


def withdraw(routed: RoutedRequest, upstream: str) -> Withdrawn:
    """Log that a request was withdrawn from an engine."""
    logger.info(
        'taken back',
        request=routed.request.request_id,
        identity=routed.fingerprint.identity.hex(),
        upstream=upstream,
    )
    return Withdrawn()


def time_left(ports: RelayPorts, routed: RoutedRequest) -> Millis:
    """Return the time that remains for a request, at least 0."""
    return max(routed.ends_at - ports.clock.now(), 0)


async def wait_out_backoff(ports: RelayPorts, upstream: UpstreamEntry) -> None:
    """Wait while the engine that holds a generation's memory backs off.

    A pause is better than a cut stream. A back-off that exceeds the time limit
    of the request ends it there, as any pause would.
    """
    known = ports.fleet.find(upstream.upstream)
    if known is not None:
        backoff = known.backoff_until - ports.clock.now()
        await trio.sleep(as_seconds(max(backoff, 0)))


def make_call(
    ports: RelayPorts,
    routed: RoutedRequest,
    upstream: Upstream,
    sends: SendRecord,
    backup: str = '',
    last_event: bytes = b'',
) -> UpstreamCall:
    """Make the call of an attempt with the remaining time.

    :param sends: the request's earlier sends.
    :param backup: address of the backup engine; empty for none.
    :param last_event: id of the event after which the upstream resumes; empty
        for the start.
    """
    now = ports.clock.now()
    left = routed.ends_at - now
    logger.info(
        'placed',
        request=routed.request.request_id,
        upstream=upstream.entry.upstream,
        customer=routed.customer,
        identity=routed.fingerprint.identity.hex(),
        parts=routed.fingerprint.format_parts(),
        route=routed.route.name,
        kind=routed.route.kind.value,
        rank=routed.priority,
        target=routed.route.target_latency,
        version=ports.fleet.table.version,
        waited=now - routed.arrived_at,
        left=left,
        failing=round(find_failing(upstream, now), 2),
        **ports.stop.describe(now),
        **describe_belief(
            ports.fleet.speeds.find(upstream.entry.upstream, now)
        ),
    )
    return UpstreamCall(
        routed,
        upstream.entry,
        sends.permit(NewRun()),
        left,
        last_event=last_event,
        backup=backup,
    )


def conclude(
    ports: RelayPorts,
    routed: RoutedRequest,
    state: AttemptState,
    ended: AttemptEnd,
    upstream: str,
    sends: SendRecord,
) -> tuple[AttemptState, Step]:
    """Record the end of an attempt, decide the next step and log it.

    :param sends: the request's sends, which must not have caused more runs
        than the ends of its attempts tell.
    """
    streams = routed.route.kind is RouteKind.STREAM
    _report_end(ports.fleet, ended, upstream, streams=streams)
    after, step = decide(state, ended, affordable=True)
    if isinstance(step, TryAgain) and not isinstance(ended, Withheld):
        in_budget = ports.fleet.switches.is_enabled(
            Mechanism.RETRIES
        ) and ports.budget.withdraw(routed.service, ports.clock.now())
        after, step = decide(state, ended, affordable=in_budget)
    check_runs(after, sends.runs)
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


def log_time_limit(routed: RoutedRequest, upstream: str) -> None:
    """Log that the time limit of a request ended its attempt.

    :param upstream: of the attempt; empty if there was none.
    """
    logger.warning(
        'time limit', request=routed.request.request_id, upstream=upstream
    )


def may_choose_again(ended: AttemptEnd) -> bool:
    """Tell whether the same upstream may get the request again.

    Not during its back-off, but the request's time may exceed that.
    """
    match ended:
        case Withheld():
            return True
        case Declined(rests=rests):
            return rests
        case _:
            return False


def _log_stop(ports: RelayPorts, routed: RoutedRequest, work: Work) -> None:
    """Log why a request is not taken on during a stop."""
    now = ports.clock.now()
    logger.info(
        'outlasts this instance',
        request=routed.request.request_id,
        waited=now - routed.arrived_at,
        left=routed.ends_at - now,
        **ports.stop.describe(now),
        **format_log_fields('work', work),
    )


def _delay_return(
    ports: RelayPorts, routed: RoutedRequest, step: GiveUp
) -> GiveUp:
    """Extend a retry delay to when an upstream can serve the request."""
    match step.problem:
        case NotRun(reason=reason, retry_after=minimum):
            wait = ports.admission.delay_return(
                make_request_needs(routed), minimum
            )
            return GiveUp(NotRun(reason, wait))
    return step


def find_decline(
    fleet: Fleet, answer: OpenedResponse, call: UpstreamCall
) -> Declined | None:
    """Return ``Declined`` if the response says that the request did not run.

    If another upstream has taken over the address, reports that to the fleet.
    """
    match answer.execution:
        case ExecutionStatus.RAN:
            return None
        case ExecutionStatus.REPLACED:
            fleet.dispatch(AddressTakenOver(call.upstream.upstream))
    call.permit.retract(NoRunProof.DECLINED)
    return Declined(rests=answer.backoff > 0)


def _describe_wait(
    routed: RoutedRequest, needs: RequestNeeds, pace: Pace
) -> Waiting:
    """Return until when a request may wait to be answered in time.

    The response must also end before the time limit, and a stream must begin
    before the caller's timeout.
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
        customer=routed.customer,
        stay=int(ends),
        identity=routed.fingerprint.identity,
    )


def _report_end(
    fleet: Fleet, ended: AttemptEnd, upstream: str, *, streams: bool
) -> None:
    """Report the end of an attempt to the fleet, for the choice of upstreams.

    A stream that broke before the response head counts as not reached: its
    engine has probably crashed, looks idle, and would be chosen for each
    following request.

    :param streams: whether the route streams its responses.
    """
    match ended:
        case Withdrawn() | Withheld() | Unwritten():
            """These ends carry no information on the upstream."""
        case Unsent(confirmed=confirmed):
            fleet.dispatch(
                RequestEnded(
                    upstream, good=False, reached=False, confirmed=confirmed
                )
            )
        case Broken(begun=False) if streams:
            fleet.dispatch(RequestEnded(upstream, good=False, reached=False))
        case Declined() | Broken():
            fleet.dispatch(RequestEnded(upstream, good=False))
        case Answered(good=good):
            fleet.dispatch(RequestEnded(upstream, good=good))
