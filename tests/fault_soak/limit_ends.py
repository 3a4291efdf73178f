"""When instances must know that an upstream's rate limit has ended."""

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from cartdale.codec import decode_json
from tests.fault_soak.instances import Instance
from tests.fault_soak.watch import SLACK_SECONDS, Upstream

#: A limit that has ended is known to have, everywhere, so long after the first
#: answer without it.
ENDED_SECONDS = 1.0
#: How long requests are counted from then on.
COUNTED_SECONDS = 2.5
#: Taken for a lower limit: without requests there are no answers.
_LEAST_PER_SECOND = 0.1
#: Changes after which nothing is known of an upstream's limit.
_FORGETTING = frozenset(('Restarted', 'Vanished'))


class _LogLine(msgspec.Struct):
    """Hold what a log line says of a limit."""

    at: float = 0
    event: str = ''
    upstream: str = ''
    change: str = ''
    per_second: float | None = None


@dataclass(frozen=True, slots=True)
class Limited:
    """Hold that an upstream named a limit, and until when."""

    upstream: Upstream
    per_second: float
    since: float
    until: float
    #: Whether it named another one right after.
    changed: bool

    @property
    def heard_by(self) -> float:
        """Return when all must know that it has ended.

        A limit lets one request pass in so long, whose answer tells.
        """
        waits = 1 / max(self.per_second, _LEAST_PER_SECOND)
        return self.until + waits + ENDED_SECONDS + SLACK_SECONDS

    @property
    def checked_until(self) -> float:
        """Return until when requests are counted after its end."""
        return self.heard_by + COUNTED_SECONDS


def keeps_limit(
    instance: Instance, upstream: str, at: float, wall_offset: float
) -> bool:
    """Read from an instance's log whether it keeps to an upstream's limit.

    A process that has only begun knows nothing of what its predecessor did.

    :param at: the moment, in trio's seconds.
    """
    keeps = False
    begun = max((start for start in instance.starts if start <= at), default=0)
    for event in _read_lines(instance):
        if event.at > at + wall_offset:
            break
        if event.upstream != upstream or event.at < begun + wall_offset:
            continue
        if event.change == 'LimitChanged':
            keeps = event.per_second is not None
        if event.change in _FORGETTING:
            keeps = False
    return keeps


def _read_lines(instance: Instance) -> Iterator[_LogLine]:
    for line in instance.log_path.read_bytes().splitlines():
        if line.startswith(b'{'):
            yield decode_json(line, _LogLine)
