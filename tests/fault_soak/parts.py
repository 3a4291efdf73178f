"""Requests that crash engines though no two of them are alike."""

from collections import Counter
from random import Random
from typing import Any

import httpx
import trio

from tests.fault_soak.deadly import DeadlyRequest

#: Part that prompts of all callers begin with, sound ones too.
FIRST_PART = '5c1e07a2'
#: Crashes after which a part is to be refused.
_CRASHES_TO_REFUSE = 5
#: How long a caller submits requests of a kind, and its pauses, in seconds.
_PART_LASTS = (12.0, 18.0)
_SINGLE_LASTS = (4.0, 7.0)
_PAUSE = (0.1, 0.5)
_REST = (0.5, 3.0)
_TIMEOUT = 5


class Parts:
    """Submit such requests: first with a deadly part, then other ones.

    :param soak: the run that is disturbed.
    :param seed: of a generator of its own, so that the other faults of a seed
        stay as they are.
    """

    def __init__(self, soak: Any, seed: int) -> None:
        self._soak = soak
        self._random = Random(f'parts {seed}')
        #: Parts that end each engine.
        self.deadly: set[str] = set()
        #: Requests that end each engine which receives them.
        self._single: list[DeadlyRequest] = []

    async def run(self, stopping: trio.Event) -> None:
        """Submit requests of both kinds in turn, until told to stop."""
        async with httpx.AsyncClient(timeout=_TIMEOUT) as client:
            while not stopping.is_set():
                await trio.sleep(self._random.uniform(*_REST))
                with trio.move_on_after(self._random.uniform(*_PART_LASTS)):
                    await self._submit_part(client, stopping)
                await trio.sleep(self._random.uniform(*_REST))
                with trio.move_on_after(self._random.uniform(*_SINGLE_LASTS)):
                    await self._submit_single(client, stopping)

    def check(self, runs_by_request: Counter[str]) -> None:
        """Check that what ends engines as they receive it reached one each."""
        for request in self._single:
            for each in request.submissions:
                self._soak.checks.check_received(
                    each.name, runs_by_request[each.name]
                )

    async def _submit_part(
        self, client: httpx.AsyncClient, stopping: trio.Event
    ) -> None:
        """Submit distinct requests whose prompts share a deadly part."""
        part = f'dead{self._soak.next_number():04x}'
        self.deadly.add(part)
        for upstream in self._soak.upstreams:
            upstream.worker.crashes.crashing_parts.add(part)
        kind = self._random.choice(('draft', 'tag'))
        request = DeadlyRequest(
            f'part {part}'.encode(),
            crashes=_CRASHES_TO_REFUSE,
            prompt=f'{FIRST_PART}:20,{part}:10',
        )
        self._soak.deadly_callers.requests.append(request)
        self._soak.faults['deadly part'] += 1
        self._soak.note(f'deadly part {part} of {kind}')
        async with trio.open_nursery() as nursery:
            while not stopping.is_set():
                await self._send(request, kind, client, nursery)

    async def _submit_single(
        self, client: httpx.AsyncClient, stopping: trio.Event
    ) -> None:
        """Submit requests that end an engine before any response."""
        self._soak.faults['deadly on receipt'] += 1
        self._soak.note('deadly on receipt')
        async with trio.open_nursery() as nursery:
            while not stopping.is_set():
                request = DeadlyRequest(
                    f'on receipt {self._soak.next_number()}'.encode()
                )
                self._single.append(request)
                for upstream in self._soak.upstreams:
                    crashes = upstream.worker.crashes
                    crashes.crashing_on_receipt.add(request.body)
                await self._send(request, 'draft', client, nursery)

    async def _send(
        self,
        request: DeadlyRequest,
        kind: str,
        client: httpx.AsyncClient,
        nursery: trio.Nursery,
    ) -> None:
        """Submit a request at any instance, and pause."""
        instance = self._random.choice(self._soak.instances)
        nursery.start_soon(
            self._soak.deadly_callers.send, request, kind, instance, client
        )
        await trio.sleep(self._random.uniform(*_PAUSE))
