"""Which parts of prompts are blamed for crashes, and which are not.

Guards against a part that crashes engine after engine since no two requests
with it are alike, and against sound requests that are refused with it since
they share a customer, the first part or any other.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import permutations
from types import MappingProxyType

import pytest
import trio
from returns.result import Success

from cartdale.clock import HOUR_MS, MINUTE_MS, SECOND_MS, Millis, VirtualClock
from cartdale.codec import encode_binary
from cartdale.quarantine.driver import Quarantine
from cartdale.quarantine.identity import identify
from cartdale.quarantine.persistence import (
    PREFIX,
    PersistentQuarantine,
    StoredRecord,
)
from cartdale.quarantine.types import Crash, UpstreamEnded
from tests.part_evidence import (
    Prompt,
    make_prompt,
    observe_crash,
    observe_survival,
    refuses,
    tell,
)

CRASHES_TO_REFUSE = 5
FIRST = '5c1e07a2'
OTHER_FIRST = '7700aa11'
COMMON = 'c0110001'
#: In no prompt without the deadly part.
RIDER = 'c0110002'
DEADLY = 'dead0001'
OTHER_DEADLY = 'dead0002'
#: Each in one prompt with the deadly part.
VARYING = tuple(f'c011001{number}' for number in range(CRASHES_TO_REFUSE))
#: Last part of several prompts of one session.
SESSION = '5e550001'
CRASH_PAUSE: Millis = SECOND_MS // 2
SURVIVAL_PAUSE: Millis = 200
#: When requests run on; the first upstream crashes in between.
SERVED_FROM: Millis = MINUTE_MS - 10 * SECOND_MS
SERVED_UNTIL: Millis = MINUTE_MS + 4 * SECOND_MS
#: Messages that each instance gets from each other after an event.
MESSAGES = 3


@dataclass(frozen=True)
class Crashed:
    """Let an upstream crash.

    :param beginning: prompts that it was beginning to answer.
    """

    at: Millis
    upstream: str
    beginning: tuple[Prompt, ...]


@dataclass(frozen=True)
class Survived:
    """Let a request run on."""

    at: Millis
    prompt: Prompt


Event = Crashed | Survived


@dataclass(frozen=True)
class Scenario:
    """Hold what happens, and what then is refused.

    :param refused: prompts that are refused from the last crash on.
    :param accepted: prompts that are not refused after any event.
    :param asked_after: time from the last event to the questions.
    :param accepted_later: prompts that are accepted by then.
    """

    name: str
    events: tuple[Event, ...]
    refused: tuple[Prompt, ...] = ()
    accepted: tuple[Prompt, ...] = ()
    asked_after: Millis = 0
    accepted_later: tuple[Prompt, ...] = ()


def crash(
    *beginning: tuple[str, ...],
    since: Millis = MINUTE_MS,
    pause: Millis = CRASH_PAUSE,
    count: int = CRASHES_TO_REFUSE,
    name: str = 'engine',
) -> Iterator[Crashed]:
    """Crash distinct upstreams one after another.

    :param beginning: shared parts of the prompts that each was beginning.
    """
    for number in range(count):
        prompts = tuple(make_prompt(*shared) for shared in beginning)
        at = since + number * pause
        yield Crashed(at, f'{name}-{number}', prompts)


def survive(
    *shared: str,
    since: Millis = SERVED_FROM,
    until: Millis = SERVED_UNTIL,
    pause: Millis = SURVIVAL_PAUSE,
) -> Iterator[Survived]:
    """Let requests with some shared parts run on at regular times."""
    for at in range(since, until, pause):
        yield Survived(at, make_prompt(*shared))


def order(*streams: Iterable[Event]) -> tuple[Event, ...]:
    events = [event for stream in streams for event in stream]
    return tuple(sorted(events, key=lambda event: event.at))


def make_prompts(*shared: tuple[str, ...]) -> tuple[Prompt, ...]:
    return tuple(make_prompt(*each) for each in shared)


def crash_a_domain(*shared: tuple[str, ...], takes: Millis) -> list[Crashed]:
    """Crash ten upstreams while each is beginning some prompts."""
    return list(crash(*shared, pause=takes // 10, count=10, name='lost'))


#: Crashes so fast that requests overlap: from the first to the fifth, and for
#: the time after it in which a part must be known.
OVERLAPPING = MappingProxyType({'pause': 200, 'count': 20})
#: Prompts that run on in most scenarios, before, between and after crashes.
SOUND = ((FIRST, COMMON), (OTHER_FIRST, COMMON))
SOUND_ACCEPTED = make_prompts(
    *SOUND, (FIRST,), (COMMON,), (OTHER_FIRST,), (FIRST, 'c0110009'), ()
)
WITH_DEADLY = make_prompts(
    (FIRST, DEADLY, COMMON), (OTHER_FIRST, DEADLY), (DEADLY, COMMON), (DEADLY,)
)


def serve() -> tuple[Event, ...]:
    return order(survive(*SOUND[0]), survive(*SOUND[1]))


SCENARIOS = (
    Scenario(
        'part comes first',
        order(serve(), crash((DEADLY, COMMON))),
        refused=WITH_DEADLY,
        accepted=SOUND_ACCEPTED,
    ),
    Scenario(
        'behind a first part that all of a route share',
        order(serve(), crash((FIRST, DEADLY, COMMON))),
        refused=WITH_DEADLY,
        accepted=SOUND_ACCEPTED,
    ),
    Scenario(
        'sound prompts begin on each engine that crashes',
        order(serve(), crash((FIRST, DEADLY, COMMON), *SOUND)),
        refused=WITH_DEADLY,
        accepted=SOUND_ACCEPTED,
    ),
    Scenario(
        'two parts at once',
        order(
            serve(),
            crash((FIRST, DEADLY, COMMON), name='one'),
            crash(
                (FIRST, COMMON, OTHER_DEADLY), since=MINUTE_MS + 250, name='two'
            ),
        ),
        refused=(
            *WITH_DEADLY,
            *make_prompts((FIRST, OTHER_DEADLY), (OTHER_DEADLY, COMMON)),
        ),
        accepted=SOUND_ACCEPTED,
    ),
    Scenario(
        'two parts in the same prompts at once',
        order(
            serve(),
            crash((FIRST, DEADLY), (FIRST, OTHER_DEADLY), name='both', count=5),
        ),
        refused=make_prompts(
            (FIRST, DEADLY), (OTHER_FIRST, OTHER_DEADLY), (OTHER_DEADLY, DEADLY)
        ),
        accepted=SOUND_ACCEPTED,
    ),
    Scenario(
        'harmless part rides beside it and survives elsewhere',
        order(
            serve(),
            survive(FIRST, RIDER, pause=SECOND_MS),
            crash((FIRST, RIDER, DEADLY)),
        ),
        refused=make_prompts((FIRST, RIDER, DEADLY), (OTHER_FIRST, DEADLY)),
        accepted=(*SOUND_ACCEPTED, *make_prompts((FIRST, RIDER), (RIDER,))),
    ),
    Scenario(
        'harmless part rides beside it and is seen nowhere else',
        order(serve(), crash((FIRST, RIDER, DEADLY))),
        refused=make_prompts((FIRST, RIDER, DEADLY)),
        accepted=SOUND_ACCEPTED,
    ),
    Scenario(
        'later part is blamed where nothing runs on',
        order(crash((FIRST, DEADLY))),
        refused=make_prompts((FIRST, DEADLY)),
        accepted=make_prompts((FIRST,), (FIRST, COMMON)),
    ),
    Scenario(
        'first part alone is in all prompts',
        order(
            *(
                crash(
                    (DEADLY, part),
                    since=MINUTE_MS + number * CRASH_PAUSE,
                    count=1,
                    name=part,
                )
                for number, part in enumerate(VARYING)
            ),
            survive(FIRST, VARYING[0]),
        ),
        refused=make_prompts((DEADLY, 'c0110019'), (DEADLY,)),
        accepted=make_prompts((FIRST, VARYING[0]), VARYING[1:2]),
    ),
    Scenario(
        'crashes half a minute apart',
        order(
            survive(
                FIRST,
                COMMON,
                until=MINUTE_MS + 130 * SECOND_MS,
                pause=SECOND_MS,
            ),
            crash((FIRST, DEADLY, COMMON), pause=30 * SECOND_MS),
        ),
        refused=WITH_DEADLY,
        accepted=make_prompts((FIRST, COMMON), (FIRST,), (COMMON,)),
    ),
    Scenario(
        'harmless for an hour, then deadly',
        order(
            survive(
                FIRST,
                DEADLY,
                since=0,
                until=HOUR_MS - 200,
                pause=10 * SECOND_MS,
            ),
            survive(
                FIRST, COMMON, since=HOUR_MS, until=HOUR_MS + 4 * SECOND_MS
            ),
            crash((FIRST, DEADLY, COMMON), since=HOUR_MS),
        ),
        refused=WITH_DEADLY,
        accepted=make_prompts((FIRST, COMMON), (FIRST,), (COMMON,)),
    ),
    Scenario(
        'harmless until the first crash',
        order(
            serve(),
            survive(FIRST, DEADLY, COMMON, until=MINUTE_MS),
            crash((FIRST, DEADLY, COMMON)),
        ),
        refused=WITH_DEADLY,
        accepted=SOUND_ACCEPTED,
    ),
    Scenario(
        'engines begin requests before earlier ones have crashed theirs',
        order(serve(), crash((FIRST, DEADLY, COMMON), **OVERLAPPING)),
        refused=WITH_DEADLY,
        accepted=SOUND_ACCEPTED,
    ),
    Scenario(
        'the same with a part that was harmless until then',
        order(
            serve(),
            survive(FIRST, DEADLY, COMMON, until=MINUTE_MS),
            crash((FIRST, DEADLY, COMMON), **OVERLAPPING),
        ),
        refused=WITH_DEADLY,
        accepted=SOUND_ACCEPTED,
    ),
    Scenario(
        'one crash',
        order(crash((FIRST, DEADLY), count=1)),
        accepted=make_prompts((FIRST, DEADLY), (DEADLY,), (FIRST,)),
    ),
    Scenario(
        'one engine, several prompts that share a part',
        order(crash(*((FIRST, RIDER),) * CRASHES_TO_REFUSE, count=1)),
        accepted=make_prompts((FIRST, RIDER), (RIDER,), (FIRST,)),
    ),
    Scenario(
        'ten engines at one moment',
        order(serve(), crash_a_domain(*SOUND, takes=0)),
        accepted=SOUND_ACCEPTED,
    ),
    Scenario(
        'a failure domain within a fraction of a second',
        order(serve(), crash_a_domain(*SOUND, (FIRST, COMMON), takes=300)),
        accepted=SOUND_ACCEPTED,
    ),
    Scenario(
        'a failure domain beside a deadly part',
        order(
            serve(),
            crash_a_domain(*SOUND, takes=300),
            crash((FIRST, DEADLY, COMMON)),
        ),
        refused=WITH_DEADLY,
        accepted=SOUND_ACCEPTED,
    ),
    Scenario(
        'engines that crash for other reasons here and there',
        order(
            serve(),
            crash((FIRST, RIDER, COMMON), (OTHER_FIRST, COMMON), count=2),
            crash(
                (FIRST, COMMON), since=MINUTE_MS + 250, count=5, name='other'
            ),
        ),
        accepted=(*SOUND_ACCEPTED, *make_prompts((FIRST, RIDER))),
    ),
    Scenario(
        'others end engines so often that nothing runs on in between',
        order(
            survive(FIRST, COMMON, until=MINUTE_MS),
            crash((FIRST, COMMON), (), count=10),
        ),
        accepted=make_prompts((FIRST, COMMON), (FIRST,), (COMMON,)),
    ),
    Scenario(
        'the rarer part has fewer crashes in sequence so far',
        order(
            survive(FIRST, COMMON, until=MINUTE_MS),
            crash((FIRST, RIDER), count=2, name='one'),
            crash((FIRST, DEADLY), since=MINUTE_MS + 1200, count=2, name='two'),
            crash((FIRST, COMMON), since=MINUTE_MS + 2400, count=1, name='on'),
        ),
        accepted=make_prompts((FIRST, COMMON), (FIRST,), (COMMON,)),
    ),
    Scenario(
        'mended: accepted again after an hour without crashes',
        order(serve(), crash((FIRST, DEADLY, COMMON))),
        refused=WITH_DEADLY,
        accepted=SOUND_ACCEPTED,
        asked_after=HOUR_MS,
        accepted_later=WITH_DEADLY,
    ),
    Scenario(
        'mended for an hour, then deadly again',
        order(
            serve(),
            crash((FIRST, DEADLY, COMMON)),
            survive(
                FIRST, DEADLY, since=HOUR_MS, until=2 * HOUR_MS, pause=MINUTE_MS
            ),
            survive(
                FIRST,
                COMMON,
                since=2 * HOUR_MS,
                until=2 * HOUR_MS + 4 * SECOND_MS,
            ),
            crash((FIRST, DEADLY, COMMON), since=2 * HOUR_MS, name='later'),
        ),
        refused=WITH_DEADLY,
        accepted=SOUND_ACCEPTED,
    ),
    Scenario(
        'last part of a session',
        order(
            serve(),
            (
                Crashed(
                    MINUTE_MS + number * CRASH_PAUSE,
                    f'engine-{number}',
                    ((FIRST, COMMON, SESSION),),
                )
                for number in range(2 * CRASHES_TO_REFUSE)
            ),
        ),
        accepted=(
            *SOUND_ACCEPTED,
            (FIRST, COMMON, SESSION),
            (FIRST, SESSION),
            (SESSION,),
        ),
    ),
)


class Instances:
    """Play a scenario on instances that tell each other of their evidence."""

    def __init__(self, count: int) -> None:
        self.clock = VirtualClock()
        self.quarantines = [
            Quarantine(self.clock, _ignore) for _ in range(count)
        ]
        self._observed = 0

    def play(self, event: Event) -> None:
        """Let one instance observe an event, each in turn, or several."""
        self.clock.advance(event.at - self.clock.now())
        match event:
            case Crashed(upstream=upstream, beginning=beginning):
                for prompt in beginning:
                    observe_crash(self._choose(), upstream, prompt)
                self._tell_all()
            case Survived(prompt=prompt):
                observe_survival(self._choose(), prompt)

    def list_answers(self, prompts: tuple[Prompt, ...]) -> set[bool]:
        """Return whether instances refuse prompts; both if some do."""
        return {
            refuses(quarantine, prompt)
            for quarantine in self.quarantines
            for prompt in prompts
        }

    def _choose(self) -> Quarantine:
        self._observed += 1
        return self.quarantines[self._observed % len(self.quarantines)]

    def _tell_all(self) -> None:
        for _ in range(MESSAGES):
            for sender, receiver in permutations(self.quarantines, 2):
                tell(sender, receiver)


def _ignore() -> None:
    """Announce nothing: all are told after each event."""


class Granting:
    """A store that keeps what is written."""

    def __init__(self) -> None:
        self.written: dict[str, bytes] = {}

    async def grant(self, duration: int) -> Success[int]:
        return Success(1)

    async def transact(self, compares, writes) -> Success[None]:
        for write in writes:
            self.written[write.key] = write.value
        return Success(None)


def blame_part() -> Quarantine:
    clock = VirtualClock(epoch=1)
    quarantine = Quarantine(clock, _ignore)
    for number in range(CRASHES_TO_REFUSE):
        clock.advance(SECOND_MS)
        observe_crash(quarantine, f'engine-{number}', make_prompt(DEADLY))
    return quarantine


# Guards against a part that ends engines again once all instances have ended.
async def test_blamed_part_is_restored_from_the_store(autojump_clock) -> None:
    quarantine, store = blame_part(), Granting()
    clock = VirtualClock(epoch=1)
    writer = PersistentQuarantine(store, quarantine, clock)
    observe_crash(quarantine, 'last', make_prompt(DEADLY))
    part = next(iter(quarantine.state.blamed_parts))
    quarantine.on_observed(part)
    with trio.move_on_after(1):
        await writer.run()
    newcomer = Quarantine(VirtualClock(epoch=1), _ignore)
    reader = PersistentQuarantine(store, newcomer, clock)
    for key, stored in store.written.items():
        reader.restore(key, stored)
    assert refuses(newcomer, make_prompt(DEADLY))
    assert not refuses(newcomer, make_prompt(FIRST))


# Guards against a key of another writer that ends the watch of the store.
async def test_record_under_an_unreadable_key_is_skipped() -> None:
    clock = VirtualClock(epoch=1)
    stored = encode_binary(StoredRecord(1, ()))
    quarantine = Quarantine(clock, _ignore)
    reader = PersistentQuarantine(Granting(), quarantine, clock)
    reader.restore(f'{PREFIX}not-an-identity', stored)
    assert not quarantine.count_quarantined()


# Guards against a first part that is refused for what a request without it did.
def test_quarantined_request_explains_crashes_whatever_it_holds() -> None:
    clock = VirtualClock()
    quarantine = Quarantine(clock, _ignore)
    killer = identify('POST', 'h.example', b'/', 'customer', b'killer')
    for number in range(CRASHES_TO_REFUSE):
        clock.advance(SECOND_MS)
        name = f'engine-{number}'
        quarantine.dispatch(UpstreamEnded(Crash(killer, name, born=1)))
        if quarantine.is_quarantined(killer):
            observe_crash(quarantine, name, make_prompt(FIRST))
    clock.advance(SECOND_MS)
    assert not refuses(quarantine, make_prompt(FIRST))


# Guards against a first part that is refused for the ends of an upstream which
# is back under its id before its start is known.
def test_crash_is_contested_whatever_incarnation_it_is_taken_for() -> None:
    clock = VirtualClock()
    quarantine = Quarantine(clock, _ignore)
    clock.advance(MINUTE_MS)
    observe_survival(quarantine, make_prompt(FIRST))
    for _ in range(2 * CRASHES_TO_REFUSE):
        clock.advance(SECOND_MS)
        observe_crash(quarantine, 'engine', make_prompt(), begun=False)
        observe_crash(quarantine, 'engine', make_prompt(FIRST), begun=True)
    assert not refuses(quarantine, make_prompt(FIRST))


@pytest.mark.parametrize('count', [1, 3])
@pytest.mark.parametrize(
    'scenario', SCENARIOS, ids=[each.name for each in SCENARIOS]
)
def test_blamed_parts(scenario: Scenario, count: int) -> None:
    instances = Instances(count)
    last_crash = max(
        number
        for number, event in enumerate(scenario.events)
        if isinstance(event, Crashed)
    )
    for number, event in enumerate(scenario.events):
        instances.play(event)
        assert instances.list_answers(scenario.accepted) <= {False}
        if number >= last_crash:
            assert instances.list_answers(scenario.refused) <= {True}
    instances.clock.advance(scenario.asked_after)
    for quarantine in instances.quarantines:
        quarantine.forget()
    assert instances.list_answers(scenario.accepted_later) <= {False}
