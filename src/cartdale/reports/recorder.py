"""Record measures of this instance and gather those of all."""

from returns.result import Success

from cartdale.clock import MINUTE_MS, Clock
from cartdale.declarations.types import Objectives
from cartdale.membership.driver import Membership
from cartdale.peers.client import PeerClient
from cartdale.peers.messages import FetchReport
from cartdale.reports.measurements import (
    MeasurementStore,
    ObjectivesOf,
    merge_parts,
)
from cartdale.reports.meter import StreamMeter
from cartdale.reports.metrics import Metrics
from cartdale.reports.types import AnswerMeasured, Report, ReportPart


class Recorder:
    """Hold what this instance measured.

    :param objectives_of: finds the objectives of a service.
    """

    def __init__(
        self, instance: str, clock: Clock, objectives_of: ObjectivesOf
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._objectives_of = objectives_of
        self.measurements = MeasurementStore(instance, clock, objectives_of)
        self.metrics = Metrics()

    def make_meter(self, service: str, customer: str) -> StreamMeter:
        """Return a meter for a request that arrives now."""
        objectives: Objectives = self._objectives_of(service)
        return StreamMeter(
            service,
            customer,
            self._clock.now(),
            objectives.between_tokens_ms,
        )

    def record(self, measured: AnswerMeasured) -> None:
        """Record one answer that ended."""
        self.measurements.record(measured)
        self.metrics.record(measured)

    async def gather(self, membership: Membership, peers: PeerClient) -> Report:
        """Merge the measures of all instances that answer."""
        parts = [self.measurements.export()]
        silent: list[str] = []
        for news in membership.alive():
            if news.name == self._instance:
                continue
            answer = await peers.request(
                news.name, news.address, FetchReport(), ReportPart
            )
            match answer:
                case Success(part):
                    parts.append(part)
                case _:
                    silent.append(news.name)
        at_minute = self._clock.wall_time() // MINUTE_MS
        return merge_parts(parts, tuple(silent), at_minute)
