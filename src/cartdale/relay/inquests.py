"""Find out whether an upstream ended when the link to it broke.

A link breaks for many reasons: the network, a worker that drops one answer, a
worker that crashes. Only the last ends the worker, and it shows at once: its
machine refuses connections, or another life of it answers.
"""

from dataclasses import dataclass

import trio
from loguru import logger

from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import UpstreamEntry
from cartdale.quarantine.identity import Identity
from cartdale.relay.types import UpstreamPort

#: Links that wait for their upstream's inquest; one of an engine with 64
#: slots breaks at most as many.
_MOST_WAITING = 1024


@dataclass(frozen=True, slots=True)
class BrokenLink:
    """Describe a link that broke with a request on it.

    :param identity: of the request.
    :param events: that came over this link; 0 for a plain request.
    """

    request_id: str
    identity: Identity
    upstream: UpstreamEntry
    events: int = 0


class Inquests:
    """Ask upstreams whose links broke how they are, once for all links."""

    def __init__(self, upstreams: UpstreamPort, fleet: Fleet) -> None:
        self._upstreams = upstreams
        self._fleet = fleet
        self._links_by_upstream: dict[str, list[BrokenLink]] = {}
        ends = trio.open_memory_channel[UpstreamEntry](_MOST_WAITING)
        self._put = ends[0]
        self._take = ends[1]

    def hold(self, link: BrokenLink) -> None:
        """Find out soon whether the upstream of a link ended."""
        name = link.upstream.upstream
        waiting = self._links_by_upstream.get(name)
        if waiting is not None:
            waiting.append(link)
            return
        try:
            self._put.send_nowait(link.upstream)
        except trio.WouldBlock:
            logger.warning('inquest not held', upstream=name)
            return
        self._links_by_upstream[name] = [link]

    async def run(self) -> None:
        """Hold inquests, for ever."""
        async with trio.open_nursery() as nursery:
            async for upstream in self._take:
                nursery.start_soon(self._inquire, upstream)

    async def _inquire(self, upstream: UpstreamEntry) -> None:
        spec = self._fleet.table.services_by_name.get(upstream.service)
        gone = await self._upstreams.is_gone(upstream, spec)
        links = self._links_by_upstream.pop(upstream.upstream)
        for link in links:
            logger.info(
                'link broke',
                request=link.request_id,
                identity=link.identity.hex(),
                upstream=upstream.upstream,
                events=link.events,
                upstream_gone=gone,
            )
