"""Requests that end each upstream which begins to run them."""

from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

import httpx
import trio

from tests.fault_soak.checks import CONTACT_SECONDS, STREAMS
from tests.fault_soak.instances import Instance
from tests.fault_soak.watch import SLACK_SECONDS
from tests.platform_stage import make_headers

#: How long a caller submits such a request, and how often, in seconds.
_LASTS = (6.0, 12.0)
_PAUSE = (0.1, 1.0)
_TIMEOUT = 5
#: Paths with the methods of their requests.
_METHODS_BY_KIND = MappingProxyType(
    {'draft': 'POST', 'tag': 'POST', 'cut': 'POST', 'look': 'GET'}
)


#: Upstreams that may end under a request before it is refused everywhere.
CRASHES_TO_QUARANTINE = 3


@dataclass
class Submission:
    """Hold one submission of a deadly request.

    :param calm: whether the instance that it went to was undisturbed.
    """

    name: str
    at: float
    calm: bool


@dataclass
class DeadlyRequest:
    """Hold what became of one request that ends upstreams.

    :param crashes: upstreams that may end before it is refused everywhere.
    :param prompt: parts that its prompts share, as their header names them, if
        these end upstreams: then no two submissions are alike otherwise.
    """

    body: bytes
    crashes: int = CRASHES_TO_QUARANTINE
    prompt: str = ''
    submissions: list[Submission] = field(default_factory=list)

    def count_late(self, ends_by_name: dict[str, list[float]]) -> int:
        """Count ends by what was submitted after the deciding was known.

        :param ends_by_name: when upstreams ended, by the submission.
        """
        ends = sorted(
            at
            for each in self.submissions
            for at in ends_by_name.get(each.name, ())
        )
        if len(ends) < self.crashes:
            return 0
        known = ends[self.crashes - 1] + CONTACT_SECONDS + SLACK_SECONDS
        return sum(
            len(ends_by_name.get(each.name, ()))
            for each in self.submissions
            if each.calm and each.at > known
        )


class DeadlyCallers:
    """Submit deadly requests, each again and again at any instance.

    :param soak: the run that they belong to.
    """

    def __init__(self, soak: Any) -> None:
        self._soak = soak
        self.requests: list[DeadlyRequest] = []

    async def submit(self) -> None:
        """Submit a new deadly request until its caller has enough."""
        soak = self._soak
        kind = soak.random.choice(sorted(_METHODS_BY_KIND))
        request = DeadlyRequest(f'deadly {soak.next_number()}'.encode())
        self.requests.append(request)
        for upstream in soak.upstreams:
            upstream.worker.crashes.crashing_bodies.add(request.body)
        soak.deadly.add(request.body)
        async with httpx.AsyncClient(timeout=_TIMEOUT) as client:
            with trio.move_on_after(soak.random.uniform(*_LASTS)):
                while True:
                    await trio.sleep(soak.random.uniform(*_PAUSE))
                    instance = soak.random.choice(soak.instances)
                    await self.send(request, kind, instance, client)

    def count_late(self) -> dict[bytes, int]:
        """Return how many upstreams ended later than allowed, by request."""
        ends_by_name: dict[str, list[float]] = {}
        for upstream in self._soak.upstreams:
            crashes = upstream.worker.crashes
            for name, at in zip(
                crashes.crashed_by, crashes.crashed_at, strict=True
            ):
                ends_by_name.setdefault(name, []).append(at)
        return {
            each.body: each.count_late(ends_by_name) for each in self.requests
        }

    async def send(
        self,
        request: DeadlyRequest,
        kind: str,
        instance: Instance,
        client: httpx.AsyncClient,
    ) -> None:
        """Submit a deadly request once."""
        now = trio.current_time()
        calm = instance.disturbed_at < now - CONTACT_SECONDS - SLACK_SECONDS
        number = self._soak.next_number()
        name = f'deadly-{number}'
        request.submissions.append(Submission(name, now, calm))
        headers = make_headers(name)
        if kind in STREAMS:
            headers['Token-Count'] = '40,400'
        body = request.body
        if request.prompt:
            headers['Prompt-Prefix'] = f'{request.prompt},{number:x}:10'
            body = name.encode()
        try:
            await client.request(
                _METHODS_BY_KIND[kind],
                f'{instance.caller_url}/{kind}/',
                headers=headers,
                content=body,
            )
        except httpx.TransportError:
            # Its engine ended, or its instance did.
            return
