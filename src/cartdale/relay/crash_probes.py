"""Probe whether an upstream crashed when the link to it broke.

A link breaks for many reasons: a network fault, a worker that drops one
response, a worker that crashes. Only the last ends the worker, which can be
seen at once: its machine refuses connections, or another incarnation answers.
"""

from dataclasses import dataclass, field

import trio
from loguru import logger

from cartdale.clock import Millis
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import UpstreamEntry
from cartdale.quarantine.identity import Fingerprint
from cartdale.quarantine.types import Crash, UpstreamEnded
from cartdale.relay.liveness import LifeCheck, LifeEvidence, LifeState
from cartdale.relay.types import UpstreamPort
from cartdale.supervision import contain, keep_running, run_guarded
from cartdale.switches import Mechanism

#: Probes that wait to be started. An engine with 64 slots breaks at most 64
#: links, which share one probe.
_MAX_PENDING = 1024


@dataclass(frozen=True, slots=True)
class ResponsePath:
    """Way that a response took from an upstream.

    :param carrier: instance that carried it; empty for the direct path.
    """

    upstream: str
    carrier: str


@dataclass(frozen=True, slots=True)
class BrokenLink:
    """Describe a link that broke while it carried a request.

    :param fingerprint: fingerprint of the request.
    :param sent_at: when the request was sent over the link.
    :param broke_at: when the link broke.
    :param events: events received over this link; 0 for a plain request.
    :param begun_at: when the response head was received; ``None`` if it was
        not.
    :param carrier: instance that carried its response; empty for none.
    """

    request_id: str
    fingerprint: Fingerprint
    upstream: UpstreamEntry
    sent_at: Millis
    broke_at: Millis
    events: int = 0
    begun_at: Millis | None = None
    carrier: str = ''

    @property
    def path(self) -> ResponsePath:
        """Return the way that its response took."""
        return ResponsePath(self.upstream.upstream, self.carrier)

    @property
    def begun(self) -> bool:
        """Tell whether the response head was received."""
        return self.begun_at is not None

    def concerns(self, fingerprint: Fingerprint) -> bool:
        """Tell whether its crash would be evidence against a request."""
        same = self.fingerprint.identity == fingerprint.identity
        shared = set(self.fingerprint.parts).intersection(fingerprint.parts)
        return same or bool(shared)


@dataclass(frozen=True, slots=True)
class _Probe:
    """Hold the links that one crash probe covers.

    :param path: the way that all their responses took.
    :param checks: contains the result once it is known.
    """

    upstream: UpstreamEntry
    path: ResponsePath
    links: list[BrokenLink]
    ended: trio.Event
    checks: list[LifeCheck] = field(default_factory=list)


class CrashProber:
    """Probe upstreams whose links broke, once for all links of a path."""

    def __init__(self, upstreams: UpstreamPort, fleet: Fleet) -> None:
        self._upstreams = upstreams
        self._fleet = fleet
        self._probes_by_path: dict[ResponsePath, _Probe] = {}
        channel = trio.open_memory_channel[_Probe](_MAX_PENDING)
        self._sender = channel[0]
        self._receiver = channel[1]

    def probe(self, link: BrokenLink) -> None:
        """Queue a crash probe of the upstream of a link."""
        pending = self._probes_by_path.get(link.path)
        if pending is not None:
            pending.links.append(link)
            return
        pending = _Probe(link.upstream, link.path, [link], trio.Event())
        try:
            self._sender.send_nowait(pending)
        except trio.WouldBlock:
            logger.warning(
                'crash probe not queued', upstream=link.upstream.upstream
            )
            return
        self._probes_by_path[link.path] = pending

    async def check(self, link: BrokenLink, since: Millis) -> LifeCheck:
        """Probe the upstream of a link, and tell whether it has ended.

        A probe that is in progress may have asked too early; the upstream is
        asked again then, unless it has ended.

        :param since: earliest time at which it may have been asked.
        """
        while True:
            self.probe(link)
            pending = self._probes_by_path.get(link.path)
            if pending is None:
                return LifeCheck(LifeEvidence.NOT_ASKED, link.broke_at)
            await pending.ended.wait()
            check = pending.checks[0]
            ended = check.state is LifeState.ENDED
            failed = check.evidence is LifeEvidence.FAILED
            if ended or failed or check.asked_at >= since:
                return check

    async def settle(self, fingerprint: Fingerprint) -> None:
        """Wait for the pending probes that concern a suspect request.

        Otherwise the next attempt could be sent before their result is known.
        """
        if not self._fleet.quarantine.is_suspect(fingerprint):
            return
        for pending in tuple(self._probes_by_path.values()):
            if any(link.concerns(fingerprint) for link in pending.links):
                await pending.ended.wait()

    async def run(self) -> None:
        """Run queued probes until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                keep_running, 'crash probes', self._start_probes, nursery
            )

    async def _start_probes(self, nursery: trio.Nursery) -> None:
        async for pending in self._receiver:
            nursery.start_soon(
                run_guarded, 'crash probes', self._run_probe, pending
            )

    async def _run_probe(self, pending: _Probe) -> None:
        """Run a probe, and let those go on who wait for its result."""
        upstream = pending.upstream
        spec = self._fleet.table.services_by_name.get(upstream.service)
        asked_at = pending.links[0].broke_at
        check = LifeCheck(LifeEvidence.FAILED, asked_at)
        with contain('crash probes', upstream=upstream.upstream):
            check = await self._upstreams.check_life(
                upstream, spec, pending.path.carrier
            )
        pending.checks.append(check)
        self._probes_by_path.pop(pending.path)
        try:
            self._note_result(pending, check)
        finally:
            pending.ended.set()

    def _note_result(self, pending: _Probe, check: LifeCheck) -> None:
        """Record what a probe found for each of its links."""
        upstream = pending.upstream
        gone = check.state is LifeState.ENDED
        for link in pending.links:
            logger.info(
                'link broke',
                request=link.request_id,
                identity=link.fingerprint.identity.hex(),
                parts=link.fingerprint.format_parts(),
                upstream=upstream.upstream,
                events=link.events,
                begun=link.begun,
                upstream_gone=gone,
                state=check.state,
                evidence=check.evidence,
            )
            if gone:
                self._suspect(link)

    def _suspect(self, link: BrokenLink) -> None:
        """Record an upstream's crash for a request whose link broke."""
        enabled = self._fleet.switches.is_enabled(Mechanism.QUARANTINE)
        identity = link.fingerprint.identity
        if not (enabled and identity):
            return
        upstream = link.upstream
        crash = Crash(identity, upstream.upstream, upstream.born)
        ended = UpstreamEnded(
            crash,
            link.sent_at,
            link.begun,
            link.fingerprint.parts,
            link.begun_at,
            link.broke_at,
        )
        self._fleet.quarantine.record_crash(ended, link.events)
