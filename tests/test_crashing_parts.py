"""A prompt part that crashes each engine which begins to answer on it.

Guards against a failure in which engines crashed for minutes, each as it began
to answer a new request: no two of these requests were alike, but all of their
prompts held one part. Sound requests shared their customer, their first part
and all other parts. Instances are processes of their own, so that those who
play engines and callers have a core for themselves.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import count
from math import inf
from pathlib import Path
from tempfile import TemporaryDirectory

import httpx
import trio

from cartdale_standins.platform_engine import STRIDE
from tests.fault_soak.checks import CONTACT_SECONDS
from tests.fault_soak.instances import Instance
from tests.fault_soak.proxy import LOCAL, FaultProxy
from tests.platform_stage import (
    PlatformStage,
    make_draft,
    open_platform,
    until,
    whole,
)

DEADLY = 'dead0001'
OTHER_DEADLY = 'dead0002'
FIRST = '5c1e07a2'
SECOND = '91bd3f06'
#: Part of sound prompts and of deadly ones.
COMMON = 'c0110001'
#: First part of sound prompts where the deadly part comes first.
OTHER_FIRST = '7700aa11'
INSTANCES = 4
ENGINES = 12
DOWN_SECONDS = 2.0
#: Between two deadly requests, and between two sound ones.
DEADLY_PAUSE = 0.5
SOUND_PAUSE = 0.1
#: Events of each answer; so few that it gets no backup.
EVENTS = 15
TOKENS = EVENTS * STRIDE
#: Tokens of each part of a prompt.
PART_TOKENS = 10
#: Crashes after which a part is to be refused.
CRASHES_TO_REFUSE = 5
#: Requests with the part that may reach engines once all instances know.
MOST_LATE = 3
#: Share of the sound requests served before that must be served again.
MIN_RELATIVE_SHARE = 0.5
#: Sound requests of each time from which on their shares are compared.
MIN_SOUND = 20
#: Time in which sound requests are counted, before and after.
COUNTED_SECONDS = 2.5
#: Longest that instances may take to start; how fast a machine loads programs
#: is no part of the tests.
START_SECONDS = 60
#: Requests that wait for their answers, so that a slow machine gets fewer.
MAX_OPEN = 8
#: Longer than the pause, so that a request is sent before the one before it has
#: crashed its engine.
READING_SECONDS = 0.8


@dataclass
class SoundRequest:
    """Hold when a sound request was sent, and whether it was served.

    :param ended: whether its answer has come, or its connection has broken.
    """

    sent_at: float
    served: bool = False
    ended: bool = False


@dataclass
class Group:
    """Instances that run as processes before the engines of a stage.

    :param folder: of their settings and logs.
    :param store: their way to the store.
    :param instances: those that are not stopped.
    """

    stage: PlatformStage
    folder: Path
    store: FaultProxy
    instances: list[Instance] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    _names: count = field(default_factory=count)

    async def add(self, number: int = 1) -> None:
        """Start instances; take them in once they serve."""
        added = [
            Instance(f'entry-{next(self._names)}', self.folder, self.store)
            for _ in range(number)
        ]
        seeds = [each.control_address for each in (*self.instances, *added)]
        for instance in added:
            instance.seeds = seeds
            self.stage.nursery.start_soon(instance.run, self.ended)
        async with self.stage.leave_out(START_SECONDS):
            async with trio.open_nursery() as nursery:
                for instance in added:
                    nursery.start_soon(self._wait_until_it_serves, instance)
        self.instances.extend(added)

    def end(self, instance: Instance) -> None:
        """End an instance for good."""
        self.instances.remove(instance)
        instance.end()

    async def _wait_until_it_serves(self, instance: Instance) -> None:
        served = False
        await wait_until_it_listens(instance)
        while not served:
            await trio.sleep(0.05)
            asked = self.stage.client.post(
                f'{instance.caller_url}/draft/a',
                headers=make_draft(instance.name, TOKENS),
                content=b'first',
            )
            try:
                answer = await asked
            except httpx.TransportError:
                continue
            served = answer.status_code == httpx.codes.OK


async def wait_until_it_listens(instance: Instance) -> None:
    """Wait until callers can connect, which costs less than a request."""
    while True:
        try:
            stream = await trio.open_tcp_stream(LOCAL, instance.ports[0])
        except OSError:
            await trio.sleep(0.05)
            continue
        await stream.aclose()
        return


@asynccontextmanager
async def open_group() -> AsyncIterator[Group]:
    """Run engines, and instances as processes, while the context is open."""
    async with open_platform(
        engines=ENGINES, plains=0, instances=0, proxied=True
    ) as stage:
        store = FaultProxy(stage.store_port)
        stage.nursery.start_soon(store.run)
        with TemporaryDirectory() as folder:
            group = Group(stage, Path(folder), store)
            await group.add(INSTANCES)
            yield group
            assert not group.ended


@dataclass
class Callers:
    """Send requests at all instances in turn, no two alike."""

    group: Group
    sound: list[SoundRequest] = field(default_factory=list)
    #: The deadly part of each request that holds one, by its id.
    deadly_by_request: dict[str, str] = field(default_factory=dict)
    _numbers: count = field(default_factory=count)
    _open: trio.CapacityLimiter = field(
        default_factory=lambda: trio.CapacityLimiter(MAX_OPEN)
    )

    async def send_sound(self, parts: tuple[str, ...]) -> None:
        """Send requests that no engine crashes on, for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wait_for_one()
                nursery.start_soon(self._send_sound, parts)
                await trio.sleep(SOUND_PAUSE)

    async def send_harmless(self, parts: tuple[str, ...]) -> None:
        """Send requests that engines will crash on later."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wait_for_one()
                nursery.start_soon(self._send_harmless, parts)
                await trio.sleep(SOUND_PAUSE)

    async def send_deadly(self, parts: tuple[str, ...]) -> None:
        """Send requests that crash an engine each, for ever."""
        deadly = next(each for each in parts if each in {DEADLY, OTHER_DEADLY})
        async with trio.open_nursery() as nursery:
            while True:
                number = next(self._numbers)
                self.deadly_by_request[f'r{number}'] = deadly
                nursery.start_soon(self._send, number, parts)
                await trio.sleep(DEADLY_PAUSE)

    def list_crashes(self, part: str) -> list[float]:
        """Return when engines crashed on a part."""
        return sorted(
            at
            for engine in self.group.stage.engines
            for name, at in zip(
                engine.crashes.crashed_by,
                engine.crashes.crashed_at,
                strict=True,
            )
            if self.deadly_by_request.get(name) == part
        )

    def find_deciding(self, part: str) -> float:
        """Return when the fifth engine crashed, or the last if fewer did."""
        crashes = self.list_crashes(part)[:CRASHES_TO_REFUSE]
        return crashes[-1] if crashes else inf

    def count_late(self, part: str) -> int:
        """Count what reached engines with a part that all must refuse."""
        if len(self.list_crashes(part)) < CRASHES_TO_REFUSE:
            return 0
        known_at = self.find_deciding(part) + CONTACT_SECONDS
        return sum(
            self.deadly_by_request.get(arrival.request_id) == part
            for engine in self.group.stage.engines
            for arrival in engine.arrivals
            if arrival.at > known_at
        )

    def find_share(self, since: float) -> float:
        """Return the share served of the sound requests from some time on."""
        served = [each.served for each in self.list_counted(since)]
        assert len(served) >= MIN_SOUND
        return sum(served) / len(served)

    def list_counted(self, since: float) -> list[SoundRequest]:
        """Return the sound requests of some time; on a busy machine, longer."""
        sent = [each for each in self.sound if each.sent_at >= since]
        end = since + COUNTED_SECONDS
        in_time = [each for each in sent if each.sent_at <= end]
        return sent[: max(len(in_time), MIN_SOUND)]

    def have_ended(self, since: float) -> bool:
        """Tell whether enough sound requests were sent, and all have ended."""
        counted = self.list_counted(since)
        return len(counted) >= MIN_SOUND and all(each.ended for each in counted)

    async def _wait_for_one(self) -> None:
        """Wait until one more request may be open."""
        async with self._open:
            """Only waits: the request takes its own place."""

    async def _send_harmless(self, parts: tuple[str, ...]) -> None:
        async with self._open:
            await self._send(next(self._numbers), parts)

    async def _send_sound(self, parts: tuple[str, ...]) -> None:
        async with self._open:
            sent = SoundRequest(trio.current_time())
            self.sound.append(sent)
            number = next(self._numbers)
            answer = await self._send(number, parts)
            sent.served = answer is not None and (
                answer.content == whole(f'r{number}', EVENTS)
            )
            sent.ended = True

    async def _send(
        self, number: int, parts: tuple[str, ...]
    ) -> httpx.Response | None:
        """Send a request with a body and a last part of its own, once."""
        prompt = (*parts, f'{number:08x}')
        headers = {
            **make_draft(f'r{number}', TOKENS),
            'Token-Count': f'{len(prompt) * PART_TOKENS},{TOKENS}',
            'Prompt-Prefix': ','.join(f'{id_}:{PART_TOKENS}' for id_ in prompt),
        }
        instances = self.group.instances
        instance = instances[number % len(instances)]
        try:
            return await self.group.stage.client.post(
                f'{instance.caller_url}/draft/a',
                headers=headers,
                content=f'brief {number}'.encode(),
            )
        except httpx.TransportError:
            return None


@dataclass(frozen=True)
class Course:
    """Say what is sent; each request adds a last part of its own.

    :param sound: parts of sound prompts.
    :param deadly: those of prompts that crash engines, one for each caller.
    :param harmless_before: whether sound prompts have these parts too until
        engines begin to crash on them.
    :param reading_seconds: time that engines read before they crash.
    :param meanwhile: is run beside the callers.
    """

    sound: tuple[str, ...]
    deadly: tuple[tuple[str, ...], ...]
    harmless_before: bool = False
    reading_seconds: float = 0
    meanwhile: Callable[[Callers], Awaitable[None]] | None = None


@dataclass(frozen=True)
class Outcome:
    """Hold what is bounded.

    :param late: requests with a deadly part that reached engines too late, the
        most of any part.
    :param before: share of the sound requests that was served before all.
    :param after: the same from the time on by which all instances know.
    """

    late: int
    before: float
    after: float


async def play(course: Course) -> Outcome:
    """Send sound requests, then deadly ones beside them."""
    async with open_group() as group:
        callers = Callers(group)
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.send_sound, course.sound)
            await send_before(course, callers)
            counted_from = await send_deadly(course, callers)
            nursery.cancel_scope.cancel()
        return Outcome(
            max(callers.count_late(each) for each in (DEADLY, OTHER_DEADLY)),
            callers.find_share(began_at),
            callers.find_share(counted_from),
        )


async def send_before(course: Course, callers: Callers) -> None:
    """Send what engines don't crash on."""
    async with trio.open_nursery() as nursery:
        if course.harmless_before:
            for parts in course.deadly:
                nursery.start_soon(callers.send_harmless, parts)
        await trio.sleep(COUNTED_SECONDS)
        await until(lambda: callers.have_ended(0))
        nursery.cancel_scope.cancel()


async def send_deadly(course: Course, callers: Callers) -> float:
    """Send what engines crash on; return from when sound ones are counted."""
    parts = (DEADLY, OTHER_DEADLY)[: len(course.deadly)]
    for engine in callers.group.stage.engines:
        engine.crashes.down_seconds = DOWN_SECONDS
        engine.crashes.reading_seconds = course.reading_seconds
        engine.crashes.crashing_parts.update(parts)

    def find_counted_from() -> float:
        deciding = max(callers.find_deciding(each) for each in parts)
        return deciding + 2 * CONTACT_SECONDS

    async with trio.open_nursery() as nursery:
        for deadly in course.deadly:
            nursery.start_soon(callers.send_deadly, deadly)
        if course.meanwhile is not None:
            nursery.start_soon(course.meanwhile, callers)
        await until(
            lambda: (
                trio.current_time() > find_counted_from() + COUNTED_SECONDS
                and callers.have_ended(find_counted_from())
            )
        )
        nursery.cancel_scope.cancel()
    return find_counted_from()


async def restart_instances(callers: Callers) -> None:
    """Restart one instance after the second crash, and one after the third."""
    await restart_after(callers, crashes=2)
    await restart_after(callers, crashes=3)


async def restart_after(callers: Callers, crashes: int) -> None:
    await until(lambda: len(callers.list_crashes(DEADLY)) >= crashes)
    callers.group.end(callers.group.instances[0])
    await callers.group.add()


async def check(course: Course) -> None:
    outcome = await play(course)
    assert outcome.late <= MOST_LATE
    assert outcome.after >= MIN_RELATIVE_SHARE * outcome.before


async def test_part_that_comes_first_is_refused() -> None:
    deadly = (DEADLY, COMMON)
    await check(Course(sound=(OTHER_FIRST, COMMON), deadly=(deadly,)))


async def test_part_behind_a_shared_first_one_is_refused() -> None:
    deadly = (FIRST, DEADLY, COMMON)
    await check(Course(sound=(FIRST, COMMON), deadly=(deadly,)))


async def test_part_behind_two_shared_ones_is_refused() -> None:
    deadly = (FIRST, SECOND, DEADLY)
    await check(Course(sound=(FIRST, SECOND), deadly=(deadly,)))


async def test_two_parts_are_refused_at_once() -> None:
    deadly = ((FIRST, DEADLY, COMMON), (FIRST, COMMON, OTHER_DEADLY))
    await check(Course(sound=(FIRST, COMMON), deadly=deadly))


async def test_part_is_refused_by_restarted_instances_too() -> None:
    course = Course(
        sound=(FIRST, COMMON),
        deadly=((FIRST, DEADLY, COMMON),),
        meanwhile=restart_instances,
    )
    await check(course)


async def test_part_that_was_harmless_is_refused() -> None:
    course = Course(
        sound=(FIRST, COMMON),
        deadly=((FIRST, DEADLY, COMMON),),
        harmless_before=True,
    )
    await check(course)


async def test_part_is_refused_while_its_requests_overlap() -> None:
    course = Course(
        sound=(FIRST, COMMON),
        deadly=((FIRST, DEADLY, COMMON),),
        reading_seconds=READING_SECONDS,
    )
    await check(course)


async def test_part_that_was_harmless_is_refused_while_they_overlap() -> None:
    course = Course(
        sound=(FIRST, COMMON),
        deadly=((FIRST, DEADLY, COMMON),),
        harmless_before=True,
        reading_seconds=READING_SECONDS,
    )
    await check(course)
