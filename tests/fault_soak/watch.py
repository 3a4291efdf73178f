"""Watch a soak from outside: readiness, versions, leaving upstreams."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import httpx
import trio

from cartdale_standins.platform_engine import PlatformEngine
from cartdale_standins.platform_worker import PlatformWorker
from tests.fault_soak.checks import (
    CONFIGURE_SECONDS,
    CONTACT_SECONDS,
    DRAIN_SECONDS,
    EVACUATE_SECONDS,
)
from tests.fault_soak.instances import Instance
from tests.fault_soak.proxy import FaultProxy
from tests.platform_stage import make_headers

#: Failure domains of the upstreams, which take turns.
DOMAINS = ('east', 'west')
#: Slack of checks for the machine's own delays.
SLACK_SECONDS = 1.5
_TICK_SECONDS = 0.05


@dataclass
class Upstream:
    """Hold one upstream and the proxy before it."""

    worker: PlatformWorker
    proxy: FaultProxy
    service: str
    domain: str
    drained_at: float | None = None
    known: set[str] = field(default_factory=set)
    disturbed_at: float = 0
    #: When its failure domain was last evacuated.
    evacuated_at: float = 0
    #: Whether it ended for good.
    gone: bool = False
    #: When its path was disturbed, from and until.
    cuts: list[tuple[float, float]] = field(default_factory=list)
    #: When it ended, with all that ran there.
    ends: list[float] = field(default_factory=list)

    @property
    def is_up(self) -> bool:
        return not getattr(self.worker, 'dead', False)


class Watch:
    """Look at what callers, the balancer and upstreams see.

    :param soak: the run that is watched.
    """

    def __init__(self, soak: Any) -> None:
        self._soak = soak

    async def follow_ready(self) -> None:
        """Ask every instance as the balancer does."""
        async with httpx.AsyncClient(timeout=0.5) as client:
            while True:
                await self._ask_all(client)
                await trio.sleep(0.3)

    async def probe(self) -> None:
        """Ask for the newest route to learn which version is in force."""
        async with httpx.AsyncClient(timeout=1) as client:
            while True:
                await trio.sleep(0.2)
                if self._soak.version == 1:
                    continue
                for instance in self._soak.instances:
                    await self._probe_one(client, instance)

    async def watch_upstreams(self) -> None:
        """Look for new work at leaving upstreams, and for double runs."""
        while True:
            now = trio.current_time()
            running: Counter[str] = Counter()
            for upstream in self._soak.upstreams:
                if not upstream.is_up:
                    continue
                # Who can't be reached can't be stopped.
                calm = now > upstream.disturbed_at + SLACK_SECONDS
                if calm and isinstance(upstream.worker, PlatformEngine):
                    records = upstream.worker.driver.records_by_generation
                    running.update(records.keys())
                self._watch_closed(upstream, now)
            self._soak.checks.check_twice(running, now)
            await trio.sleep(_TICK_SECONDS)

    async def _ask_all(self, client: httpx.AsyncClient) -> None:
        for instance in self._soak.instances:
            self._soak.ready.discard(instance.name)
            if await _is_ready(client, instance):
                self._soak.ready.add(instance.name)

    async def _probe_one(
        self, client: httpx.AsyncClient, instance: Instance
    ) -> None:
        version, life = self._soak.version, instance.life
        began = trio.current_time()
        due = (
            began - self._soak.confirmed_at > CONFIGURE_SECONDS + SLACK_SECONDS
        )
        calm = began - CONTACT_SECONDS - SLACK_SECONDS
        due = due and self._soak.store_disturbed_at < calm
        due = due and instance.disturbed_at < calm
        headers = make_headers(f'probe-{self._soak.next_number()}')
        url = f'{instance.caller_url}/v{version}/'
        try:
            answer = await client.get(url, headers=headers)
        except httpx.TransportError:
            return
        if life == instance.life:
            self._soak.checks.check_version(
                (instance.name, life), answer.status_code, version, due
            )

    def _watch_closed(self, upstream: Upstream, now: float) -> None:
        """Look for new work where none may come any more."""
        ran = set(upstream.worker.runs_by_request)
        fresh, upstream.known = ran - upstream.known, ran
        bounds = []
        if upstream.drained_at is not None:
            bounds.append(upstream.drained_at + DRAIN_SECONDS)
        evacuated_since = self._soak.evacuated_since.get(upstream.domain)
        if evacuated_since is not None:
            bounds.append(evacuated_since + EVACUATE_SECONDS)
        if not bounds or now < min(bounds) + SLACK_SECONDS:
            return
        by_name = {each.name: each for each in self._soak.instances}
        asked_by_name = {each.name: each for each in self._soak.checks.asked}
        for name in fresh:
            asked = asked_by_name.get(name)
            if asked is None:
                continue
            calm = now - CONTACT_SECONDS - SLACK_SECONDS
            sender = by_name[asked.instance]
            excused = sender.disturbed_at > calm
            excused = excused or self._soak.store_disturbed_at > calm
            self._soak.checks.check_closed(name, upstream.worker.name, excused)


async def _is_ready(client: httpx.AsyncClient, instance: Instance) -> bool:
    try:
        answer = await client.get(instance.ready_url)
    except httpx.TransportError:
        return False
    return answer.status_code == httpx.codes.OK
