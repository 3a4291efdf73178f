"""Forward a request whose response is passed on once it is complete."""

from math import inf

import trio
from returns.result import Failure, Result, Success

from cartdale.clock import Millis, as_seconds
from cartdale.fleet.types import Upstream
from cartdale.problems.types import NotRunReason, OutcomeUnknown, Problem
from cartdale.relay.attempts import (
    conclude,
    find_decline,
    log_time_limit,
    make_call,
    may_choose_again,
    place,
    record_sends,
    time_left,
)
from cartdale.relay.decide import (
    Answered,
    AttemptEnd,
    AttemptState,
    Broken,
    GiveUp,
    PassOn,
    Unsent,
    Unwritten,
    Withheld,
    begin,
    refuse,
)
from cartdale.relay.end_proof import UNPROVED, EndProof
from cartdale.relay.links import CarriedLink
from cartdale.relay.ports import RelayPorts
from cartdale.relay.types import (
    CompleteResponse,
    LinkBroke,
    LinkBrokeError,
    NotSent,
    OpenedResponse,
    RoutedRequest,
    SendWithheld,
    Unwritable,
    UpstreamCall,
)
from cartdale.relay.waiting import NoCapacity
from cartdale.scheduling.loads import Assignment

#: Share of the target latency after which a repeatable request is sent to
#: another upstream: nearly all responses take less, and the remaining time
#: suffices for another attempt.
_TIMEOUT_SHARE = 0.6
_FIRST_REDIRECT = 300
_FIRST_SERVER_ERROR = 500


EndedAttempt = tuple[AttemptEnd, CompleteResponse | None]


class PlainForwarder:
    """Forward one request.

    :param routed: the request with its route.
    """

    def __init__(self, ports: RelayPorts, routed: RoutedRequest) -> None:
        self._ports = ports
        self._routed = routed
        self._tried: set[str] = set()
        self._link = CarriedLink(ports, routed)
        #: The upstream of the current attempt; empty between attempts.
        self._current = ''
        #: Bounds the wait for the response of the current attempt.
        self._response_wait = trio.CancelScope()
        #: When the body of the last response had arrived.
        self._arrived_at: Millis = 0
        self._state: AttemptState = begin(routed.route)
        #: Where the request was sent, and how often it may run.
        self.sends = record_sends(ports, routed, self._state)

    async def forward(self) -> Result[CompleteResponse, Problem]:
        """Return an upstream's response, or the problem to report."""
        self._ports.budget.count(self._routed.service, self._ports.clock.now())
        left = time_left(self._ports, self._routed)
        with trio.move_on_after(as_seconds(left)):
            return await self._try_upstreams()
        return Failure(self._time_out())

    async def _try_upstreams(self) -> Result[CompleteResponse, Problem]:
        while True:
            upstream = await place(self._ports, self._routed, self._tried)
            if isinstance(upstream, NoCapacity):
                wait = upstream.retry_after
                return Failure(refuse(self._state, upstream.reason, wait))
            name = upstream.entry.upstream
            self._tried.add(name)
            ended, response = await self._attempt(upstream)
            self._current = ''
            if may_choose_again(ended):
                self._tried.discard(name)
            after, step = conclude(
                self._ports,
                self._routed,
                self._state,
                ended,
                name,
                self.sends,
            )
            self._state = after
            match step:
                case GiveUp(problem=problem):
                    return Failure(problem)
                case PassOn() if response is not None:
                    return Success(response)

    async def _attempt(self, upstream: Upstream) -> EndedAttempt:
        assignment = Assignment(upstream.entry.upstream, 0, 0)
        fleet = self._ports.fleet
        fleet.loads.assign(assignment)
        call = make_call(self._ports, self._routed, upstream, self.sends)
        self._link.begin(call.upstream)
        sent_at = self._ports.clock.now()
        self._current = call.upstream.upstream
        try:
            self._response_wait = trio.CancelScope(
                deadline=trio.current_time() + self._attempt_timeout()
            )
            with self._response_wait:
                ended = await self._send(call)
                self._note_answer(ended, call, sent_at)
                return ended
            return Broken('no answer in time'), None
        finally:
            fleet.loads.release(assignment)
            fleet.notify()

    async def _send(self, call: UpstreamCall) -> EndedAttempt:
        async with self._ports.upstreams.open(call) as opened:
            match opened:
                case Success(answer):
                    return await self._read(answer, call)
                case Failure(NotSent(detail=detail, confirmed=confirmed)):
                    return Unsent(detail, confirmed), None
                case Failure(SendWithheld()):
                    return Withheld(), None
                case Failure(Unwritable(part=part)):
                    return Unwritten(part), None
                case Failure(LinkBroke(detail=detail)):
                    return self._break(detail), None
        return Broken('no answer'), None

    async def _read(
        self, answer: OpenedResponse, call: UpstreamCall
    ) -> EndedAttempt:
        fleet = self._ports.fleet
        declined = find_decline(fleet, answer, call)
        if declined is not None:
            return declined, None
        self._link.note_head(answer)
        if answer.denies_run:
            return Answered(good=False, denied_run=True), None
        try:
            body = await self._ports.read_whole(
                self._routed.request.request_id, answer.chunks
            )
        except LinkBrokeError as error:
            return self._break(error.detail), None
        # What follows is no longer the upstream's time.
        self._arrived_at = self._ports.clock.now()
        self._response_wait.deadline = inf
        if not answer.framed:
            proof = await self._link.prove_end()
            if proof is EndProof.NONE:
                return Broken(UNPROVED), None
        if answer.status < _FIRST_REDIRECT:
            self._link.note_complete()
        good = answer.status < _FIRST_SERVER_ERROR
        response = CompleteResponse(answer.status, answer.headers, body)
        return Answered(good=good), response

    def _note_answer(
        self, ended: EndedAttempt, call: UpstreamCall, sent_at: Millis
    ) -> None:
        """Report how long an upstream took for a complete response."""
        fleet, took = self._ports.fleet, self._arrived_at - sent_at
        if not isinstance(ended[0], Answered):
            return
        fleet.note_answer(self._routed.service, took)
        self._ports.answer_times.note(self._routed.route_key, took)
        response = ended[1]
        if response is not None and response.status < _FIRST_REDIRECT:
            upstream = call.upstream.upstream
            fleet.speeds.note_answer(upstream, took, self._ports.clock.now())

    def _break(self, detail: str) -> Broken:
        """Return a broken link, and queue a crash probe of its upstream."""
        self._link.probe_upstream()
        return Broken(detail)

    def _attempt_timeout(self) -> float:
        """Return the timeout of an attempt in seconds."""
        target = self._routed.route.target_latency
        if self._state.allows_another and target:
            return as_seconds(int(_TIMEOUT_SHARE * target))
        return inf

    def _time_out(self) -> Problem:
        if self._current:
            log_time_limit(self._routed, self._current)
        if self.sends.runs:
            return OutcomeUnknown('the time limit passed')
        return refuse(self._state, NotRunReason.DEADLINE)
