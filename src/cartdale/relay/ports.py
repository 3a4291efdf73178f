"""What the relay works with, and the start of every attempt."""

from dataclasses import dataclass

from loguru import logger

from cartdale.clock import Clock, Millis
from cartdale.fleet.choose import Need
from cartdale.fleet.driver import Fleet
from cartdale.fleet.loads import Assignment
from cartdale.fleet.types import Replaced, RequestEnded, Upstream, UpstreamEntry
from cartdale.relay.admission import Admission
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
    check_refusal,
    decide,
)
from cartdale.relay.types import (
    Headers,
    RoutedRequest,
    UpstreamCall,
    UpstreamPort,
)
from cartdale.retries.window import RepeatBudget

#: Part of the target latency that a request may wait for room. Refused
#: within a quarter of it, with what the way here took, the caller's next
#: attempt can still be in time.
WAIT_SHARE = 0.2
#: Part of its whole time that a request may wait. Room for a long generation
#: comes within seconds, and a caller who has that time is served better by a
#: late start than by a second refusal (journal, an incident of caroni-looms).
PATIENT_SHARE = 0.1
#: Longest wait where the route names no target.
_WAIT_LONGEST: Millis = 1000


@dataclass(frozen=True, slots=True)
class RelayPorts:
    """Hold what every relayed request needs.

    :param upstreams: reaches upstreams.
    """

    clock: Clock
    fleet: Fleet
    admission: Admission
    upstreams: UpstreamPort
    budget: RepeatBudget


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """Hold an upstream's answer that is whole."""

    status: int
    headers: Headers
    body: bytes


def wait_until(routed: RoutedRequest) -> Millis:
    """Return until when a request may wait for room."""
    target = routed.route.target_latency
    longest = int(target * WAIT_SHARE) if target else _WAIT_LONGEST
    whole = routed.ends_at - routed.arrived_at
    patient = int(whole * PATIENT_SHARE)
    return routed.arrived_at + min(max(longest, patient), whole)


def make_call(
    ports: RelayPorts, routed: RoutedRequest, upstream: Upstream
) -> UpstreamCall:
    """Make the call of an attempt, with the time that is left."""
    now = ports.clock.now()
    left = routed.ends_at - now
    logger.info(
        'placed',
        request=routed.request.request_id,
        upstream=upstream.entry.upstream,
        customer=routed.customer,
        route=routed.route.name,
        version=ports.fleet.table.version,
        waited=now - routed.arrived_at,
        left=left,
        failing=round(upstream.failing, 2),
    )
    return UpstreamCall(routed, upstream.entry, left)


def conclude(
    ports: RelayPorts,
    routed: RoutedRequest,
    state: AttemptState,
    ended: AttemptEnd,
    upstream: str,
) -> tuple[AttemptState, Step]:
    """Count the end of an attempt, decide what follows and log it."""
    _tell_fleet(ports.fleet, ended, upstream)
    after, step = decide(state, ended, affordable=True)
    if isinstance(step, TryAgain):
        paid = ports.budget.withdraw(routed.service, ports.clock.now())
        after, step = decide(state, ended, affordable=paid)
    if isinstance(step, GiveUp):
        check_refusal(after, step.problem)
    logger.info(
        'attempt ended',
        request=routed.request.request_id,
        upstream=upstream,
        ended=repr(ended),
        step=type(step).__name__,
    )
    return after, step


_NOTHING: frozenset[str] = frozenset()


def make_need(
    routed: RoutedRequest, excluded: frozenset[str] = _NOTHING
) -> Need:
    """Return what a request takes at an upstream."""
    request = routed.request
    expected = request.expected_tokens or request.most_tokens // 2
    if request.most_tokens:
        expected = min(expected, request.most_tokens)
    return Need(
        service=routed.service,
        prompt=request.prompt_tokens,
        expected=expected,
        excluded=excluded,
    )


def make_assignment(
    routed: RoutedRequest, upstream: UpstreamEntry, made: int
) -> Assignment:
    """Return the load that a request is at an upstream.

    :param made: tokens made before it came there.
    """
    need = make_need(routed)
    return Assignment(upstream.upstream, need.prompt, need.expected, made)


def _tell_fleet(fleet: Fleet, ended: AttemptEnd, upstream: str) -> None:
    match ended:
        case Unsent():
            fleet.tell(RequestEnded(upstream, good=False, reached=False))
        case Declined():
            fleet.tell(RequestEnded(upstream, good=False))
        case Broken():
            fleet.tell(RequestEnded(upstream, good=False))
        case Answered(good=good):
            fleet.tell(RequestEnded(upstream, good=good))


def tell_replaced(fleet: Fleet, upstream: str) -> None:
    """Note that another upstream has the address now."""
    fleet.tell(Replaced(upstream))
