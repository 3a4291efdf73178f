"""Find out whether an upstream ended when the link to it broke.

A link breaks for many reasons: the network, a worker that drops one answer, a
worker that crashes. Only the last ends the worker, and it shows at once: its
machine refuses connections, or another life of it answers.
"""

from dataclasses import dataclass

import trio
from loguru import logger

from cartdale.clock import Millis
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import UpstreamEntry
from cartdale.quarantine.identity import Identity
from cartdale.quarantine.types import Crash, UpstreamEnded
from cartdale.relay.types import UpstreamPort
from cartdale.switches import Mechanism

#: Links that wait for their upstream's inquest; one of an engine with 64
#: slots breaks at most as many.
_MOST_WAITING = 1024


@dataclass(frozen=True, slots=True)
class BrokenLink:
    """Describe a link that broke with a request on it.

    :param identity: of the request.
    :param sent_at: when the request was sent over it.
    :param events: that came over this link; 0 for a plain request.
    :param begun: whether the head of an answer came.
    """

    request_id: str
    identity: Identity
    upstream: UpstreamEntry
    sent_at: Millis
    events: int = 0
    begun: bool = False


@dataclass(frozen=True, slots=True)
class _Inquest:
    """Hold the links that an inquest is held for."""

    upstream: UpstreamEntry
    links: list[BrokenLink]
    ended: trio.Event


class CrashProber:
    """Ask upstreams whose links broke how they are, once for all links."""

    def __init__(self, upstreams: UpstreamPort, fleet: Fleet) -> None:
        self._upstreams = upstreams
        self._fleet = fleet
        self._inquests_by_upstream: dict[str, _Inquest] = {}
        ends = trio.open_memory_channel[_Inquest](_MOST_WAITING)
        self._put = ends[0]
        self._take = ends[1]

    def probe(self, link: BrokenLink) -> None:
        """Find out soon whether the upstream of a link ended."""
        name = link.upstream.upstream
        held = self._inquests_by_upstream.get(name)
        if held is not None:
            held.links.append(link)
            return
        held = _Inquest(link.upstream, [link], trio.Event())
        try:
            self._put.send_nowait(held)
        except trio.WouldBlock:
            logger.warning('inquest not held', upstream=name)
            return
        self._inquests_by_upstream[name] = held

    async def settle(self, identity: Identity) -> None:
        """Wait for what is still to be found out about a suspected request.

        An attempt that follows at once would otherwise go ahead of it.
        """
        if not self._fleet.quarantine.is_suspect(identity):
            return
        for held in tuple(self._inquests_by_upstream.values()):
            if any(link.identity == identity for link in held.links):
                await held.ended.wait()

    async def run(self) -> None:
        """Hold inquests, for ever."""
        async with trio.open_nursery() as nursery:
            async for held in self._take:
                nursery.start_soon(self._inquire, held)

    async def _inquire(self, held: _Inquest) -> None:
        upstream = held.upstream
        spec = self._fleet.table.services_by_name.get(upstream.service)
        gone = await self._upstreams.is_gone(upstream, spec)
        self._inquests_by_upstream.pop(upstream.upstream)
        for link in held.links:
            logger.info(
                'link broke',
                request=link.request_id,
                identity=link.identity.hex(),
                upstream=upstream.upstream,
                events=link.events,
                begun=link.begun,
                upstream_gone=gone,
            )
            if gone:
                self._suspect(link)
        held.ended.set()

    def _suspect(self, link: BrokenLink) -> None:
        """Hold an upstream's end against a request whose link broke."""
        on = self._fleet.switches.is_enabled(Mechanism.QUARANTINE)
        if not (on and link.identity):
            return
        upstream = link.upstream
        crash = Crash(link.identity, upstream.upstream, upstream.born)
        ended = UpstreamEnded(crash, link.sent_at, link.begun)
        self._fleet.quarantine.record_crash(ended, link.events)
