"""Dependencies of every relayed request."""

from collections.abc import AsyncIterable
from dataclasses import dataclass, field
from functools import partial

from cartdale.clock import Clock
from cartdale.fleet.driver import Fleet
from cartdale.pressure.driver import Account
from cartdale.relay.admission import Admission
from cartdale.relay.copy_release import CopyReleaser
from cartdale.relay.crash_probes import CrashProber
from cartdale.relay.end_habits import EndHabits
from cartdale.relay.end_record import EndRecord
from cartdale.relay.output_lengths import OutputLengths
from cartdale.relay.recent_times import RecentTimes
from cartdale.relay.types import LinkBrokeError, UpstreamPort
from cartdale.relay.unframed import UnframedServices
from cartdale.retries.window import RepeatBudget
from cartdale.stopping.driver import PlannedStop

#: Share of generations whose time of a token does not exceed the known one.
_FAST_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class RelayPorts:
    """Hold the dependencies of every relayed request.

    :param upstreams: connects to upstreams.
    :param copy_releaser: frees copies that are not resumed from.
    :param crash_prober: probes whether an upstream crashed as its link broke.
    :param end_record: remembers ends of links, which may have a common cause.
    :param account: bounds responses that are read whole; ``None`` for none.
    :param end_habits: remembers how many of the ends without framing of each
        service were proved.
    :param unframed: remembers services whose streams have no framing.
    :param stop: knows when this instance ends, once it was told to.
    :param lengths: learns how long streams get.
    :param token_times: learns the time of a token for each service.
    :param answer_times: learns the longest plain responses of each route.
    """

    clock: Clock
    fleet: Fleet
    admission: Admission
    upstreams: UpstreamPort
    budget: RepeatBudget
    copy_releaser: CopyReleaser
    crash_prober: CrashProber
    end_record: EndRecord = field(default_factory=EndRecord)
    end_habits: EndHabits = field(default_factory=EndHabits)
    unframed: UnframedServices = field(default_factory=UnframedServices)
    account: Account | None = None
    stop: PlannedStop = field(default_factory=PlannedStop)
    lengths: OutputLengths = field(default_factory=OutputLengths)
    token_times: RecentTimes = field(
        default_factory=partial(RecentTimes, _FAST_SHARE)
    )
    answer_times: RecentTimes = field(default_factory=partial(RecentTimes, 1))

    async def read_whole(
        self, request_id: str, chunks: AsyncIterable[bytes]
    ) -> bytes:
        """Return the body of a response.

        :raises LinkBrokeError: if it breaks off, or is too large to be held.
        """
        if self.account is None:
            return b''.join([chunk async for chunk in chunks])
        body = await self.account.collect(request_id, chunks)
        if body is None:
            raise LinkBrokeError('too large to be held')
        return body
