"""Delivery state machine: chunks once and in order, correct final problems."""

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cartdale.engines.types import StreamPhase, StreamStatus
from cartdale.exceptions import InvariantError
from cartdale.problems.types import (
    EndedEarly,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
)
from cartdale.streams import decide as streams
from cartdale.streams.decide import (
    correct_refusal,
    decide,
    make_stream_state,
    restart_on,
)
from cartdale.streams.position import Origin, PositionSigner
from cartdale.streams.types import (
    LOST_ENGINE_MS,
    REFUSING_ENGINE_MS,
    AskStatus,
    Attach,
    ChunkArrived,
    Compare,
    Deliver,
    Fail,
    Finish,
    GenerationLost,
    LinkBroke,
    NotSent,
    Phase,
    Protect,
    Restart,
    SilenceElapsed,
    StartRefused,
    StatusArrived,
    StreamCompleted,
    StreamState,
)


def make_state(**fields: object) -> StreamState:
    return replace(make_stream_state('g', 'u', 0, may_repeat=True), **fields)


def streaming(count: int, **fields: object) -> StreamState:
    return make_state(
        phase=Phase.STREAMING,
        delivered=count,
        received=count,
        sent=True,
        start_pending=False,
        **fields,
    )


def test_a_repeated_chunk_is_not_delivered() -> None:
    state, actions = decide(streaming(5), ChunkArrived('g', 5), 0)
    assert state.delivered == 5
    assert actions == ()


def test_a_gap_is_never_delivered() -> None:
    state, actions = decide(streaming(5), ChunkArrived('g', 7), 0)
    assert state.delivered == 5
    assert actions == (Attach(5),)


def test_a_chunk_of_another_generation_violates_an_invariant() -> None:
    with pytest.raises(InvariantError, match='one_generation'):
        decide(streaming(5), ChunkArrived('other', 6), 0)


def test_a_long_generation_gets_priority() -> None:
    _, actions = decide(streaming(63), ChunkArrived('g', 64), 0)
    assert actions == (Deliver(), Protect(1))


def test_a_request_that_was_not_sent_is_reported_as_not_run() -> None:
    state = make_state(may_repeat=False, repeats=3)
    _, actions = decide(state, NotSent(), 0)
    assert isinstance(actions[0].problem, NotRun)


def test_a_request_refused_before_running_is_restarted() -> None:
    state = make_state(may_repeat=False)
    assert decide(state, StartRefused(), 0)[1] == (Restart(),)


def test_a_lost_start_is_reported_as_unknown() -> None:
    state = make_state(may_repeat=False)
    state, actions = decide(state, LinkBroke(), 0)
    assert actions == (Attach(0),)
    _, actions = decide(state, GenerationLost(), 10)
    assert isinstance(actions[0].problem, OutcomeUnknown)


def test_reporting_a_sent_request_as_not_run_violates_an_invariant() -> None:
    false_refusal = Fail(NotRun(streams.NotRunReason.REFUSED, 0))
    with pytest.raises(InvariantError, match='not_run'):
        streams._end(streaming(0), false_refusal)


def test_repeating_a_request_without_permission_violates_an_invariant() -> None:
    with pytest.raises(InvariantError, match='at_most_once'):
        restart_on(streaming(3, may_repeat=False), 'g-1', 'v', 0)


def test_an_unrepeatable_stream_ends_early_with_its_token_count() -> None:
    state = streaming(9, may_repeat=False)
    _, actions = decide(state, GenerationLost(), 0)
    assert actions == (Fail(EndedEarly(9)),)


def test_a_stalled_link_is_distinguished_from_a_preemption() -> None:
    state, actions = decide(streaming(5), SilenceElapsed(), 0)
    assert actions == (AskStatus(),)
    ahead = StatusArrived(StreamStatus(StreamPhase.RUNNING, 9))
    assert decide(state, ahead, 0)[1] == (Attach(5),)
    waiting = StatusArrived(StreamStatus(StreamPhase.WAITING, 5))
    assert decide(state, waiting, 0)[1] == ()


def test_refused_connections_lose_an_engine_sooner_than_silence() -> None:
    state, _ = decide(streaming(5), NotSent(), 1)
    assert state.link_lost_at == 1
    later = 1 + REFUSING_ENGINE_MS
    assert decide(state, NotSent(), later)[1] == (Restart(),)
    assert decide(state, LinkBroke(), later)[1] == (Attach(5, 200),)
    lost = 1 + LOST_ENGINE_MS
    assert decide(state, LinkBroke(), lost)[1] == (Restart(),)


def test_forged_positions_are_rejected() -> None:
    position_signer = PositionSigner((b'new-key', b'old-key'))
    origin = Origin('g', 'u', 'c', 's', 'd')
    signed_origin = PositionSigner((b'old-key',)).sign(origin)
    assert position_signer.verify(f'{signed_origin}.7.abc').offset == 7
    assert position_signer.verify(f'{signed_origin}.-7.abc') is None
    assert position_signer.verify(f'{signed_origin[:-4]}AAAA.7.abc') is None
    assert position_signer.verify('') is None
    assert PositionSigner((b'else',)).verify(f'{signed_origin}.7.abc') is None


def test_positions_stay_valid_while_their_key_is_listed() -> None:
    position_signer = PositionSigner((b'first',))
    signed_origin = position_signer.sign(Origin('g', 'u', 'c', 's', 'd'))
    position_signer.rotate((b'second', b'first'))
    assert position_signer.verify(f'{signed_origin}.7.abc') is not None
    position_signer.rotate((b'second',))
    assert position_signer.verify(f'{signed_origin}.7.abc') is None


class Link:
    """Randomised link: refusals, delays, repeated chunks, cuts and losses.

    Records by itself which starts an engine may have begun, whatever the
    state of the delivery says.
    """

    def __init__(self, seed: int, length: int, *, may_repeat: bool) -> None:
        self.random = random.Random(seed)
        self.length = length
        self.state = make_stream_state('g', 'u', 0, may_repeat=may_repeat)
        self.delivered: list[int] = []
        self.now = 0
        self.next_offset = 1
        #: Generations whose start left and was not refused.
        self.begun: list[str] = []
        self.arrived = False
        self.attached = False
        self.alive = False
        self.end: object = None
        self.start()

    def start(self) -> None:
        self.arrived = False
        self.attached = False
        self.alive = True
        self.next_offset = 1

    def step(self) -> None:
        self.now += self.random.randrange(400)
        self.dispatch(self.draw())

    def draw(self) -> object:
        if not self.arrived:
            return self.draw_start()
        chance = self.random.random()
        if chance < 0.05:
            self.alive = False
            return self.random.choice([LinkBroke(), SilenceElapsed()])
        if not self.alive:
            return self.draw_closing()
        if chance < 0.12:
            return LinkBroke()
        if chance < 0.2:
            repeated = self.random.randrange(1, self.next_offset + 1)
            return ChunkArrived(self.state.generation, repeated)
        if chance < 0.25:
            return SilenceElapsed()
        if self.next_offset > self.length:
            return StreamCompleted()
        self.next_offset += 1
        return ChunkArrived(self.state.generation, self.next_offset - 1)

    def draw_start(self) -> object:
        chance = self.random.random()
        if chance < 0.2:
            return self.random.choice([NotSent(), StartRefused()])
        self.arrived = True
        self.begun.append(self.state.generation)
        if chance < 0.3:
            self.alive = False
            return LinkBroke()
        if chance < 0.6:
            return SilenceElapsed()
        return self.draw()

    def draw_closing(self) -> object:
        closings = [LinkBroke(), GenerationLost(), StatusArrived(None)]
        if self.attached:
            # An engine that runs the request can still refuse a reader.
            closings += [NotSent(), StartRefused()]
        return self.random.choice(closings)

    def draw_status(self) -> object:
        if not self.alive or self.random.random() < 0.2:
            return self.random.choice([StatusArrived(None), GenerationLost()])
        produced = self.random.randrange(self.next_offset - 1, self.length + 1)
        phase = StreamPhase.RUNNING
        if produced == self.length:
            phase = StreamPhase.ENDED
        return StatusArrived(StreamStatus(phase, produced))

    def dispatch(self, message: object) -> None:
        if isinstance(message, ChunkArrived):
            # The drawn offset may lie beyond the produced tokens.
            message = replace(message, offset=min(message.offset, self.length))
        self.state, actions = decide(self.state, message, self.now)
        for action in actions:
            self.carry_out(action, message)

    def carry_out(self, action: object, message: object) -> None:
        match action:
            case Deliver():
                self.delivered.append(message.offset)
            case Attach(offset=offset):
                self.attached = True
                self.alive = self.random.random() < 0.5
                self.next_offset = offset + 1
            case Restart():
                self.restart()
            case AskStatus():
                self.dispatch(self.draw_status())
            case Finish() | Fail():
                self.end = action
            case Compare() | Protect():
                """No effect without an engine."""

    def restart(self) -> None:
        if self.random.random() < 0.1:
            refused = NotRun(NotRunReason.REFUSED, 0)
            self.end = Fail(correct_refusal(self.state, refused))
            return
        generation = f'g-{self.state.repeats + 1}'
        self.state = restart_on(self.state, generation, 'v', self.now)
        self.start()


# Guards against a second run of a request that must run once, and against
# 'not run' for one that ran, after an engine refused to continue its stream.
@settings(max_examples=1000, derandomize=True, deadline=None)
@given(st.integers(0, 10**9), st.integers(1, 60), st.booleans())
def test_any_fault_schedule_delivers_a_correct_prefix(
    seed: int, length: int, may_repeat: bool
) -> None:
    link = Link(seed, length, may_repeat=may_repeat)
    for _ in range(4000):
        if link.end is not None:
            break
        link.step()
    assert link.end is not None
    assert link.delivered == list(range(1, len(link.delivered) + 1))
    if isinstance(link.end, Finish):
        assert len(link.delivered) == length
    assert may_repeat or len(link.begun) <= 1
    if isinstance(link.end, Fail):
        assert isinstance(link.end.problem, NotRun) == (not link.begun)
