"""Messages of detours between instances, and the state of direct paths."""

from dataclasses import dataclass, field
from enum import StrEnum

from cartdale.clock import Millis
from cartdale.ranges import Count, Span
from cartdale.relay.types import Headers


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """Hold an HTTP request to an upstream.

    :param upstream: id of the upstream; empty if only its address matters.
    :param address: ``IP:PORT``.
    :param target: path and query.
    :param timeout: maximum wait for bytes of the response; 0 for no bound.
    :param request_id: of the caller's request; empty if there is none.
    :param is_work: whether the upstream runs it for a caller.
    :param resumes: whether it resumes from a copy at the upstream.
    """

    address: str
    method: str
    target: bytes
    headers: Headers
    body: bytes = b''
    timeout: Span = 0
    upstream: str = ''
    request_id: str = ''
    is_work: bool = False
    resumes: bool = False


class DetourOutcome(StrEnum):
    """Say what an intermediary did with a request."""

    #: The upstream's response follows.
    OPENED = 'opened'
    #: Nothing was sent: the intermediary does not reach the upstream either.
    UNREACHED = 'unreached'
    #: Nothing was sent: the upstream is leaving or backing off.
    WITHHELD = 'withheld'
    #: Nothing was sent: the intermediary has no capacity left, or is leaving.
    BUSY = 'busy'
    #: Nothing was sent: the intermediary's machine refused the connection.
    CLOSED = 'closed'
    #: It was sent and may have run, but no response was received.
    BROKEN = 'broken'


@dataclass(frozen=True, slots=True)
class DetourReply:
    """Precede the upstream's response, or say why there is none.

    :param status: of the upstream's response; 0 if there is none.
    :param headers: of the upstream's response, unchanged.
    :param detail: the transport's error.
    :param backoff: for ``WITHHELD``: time for which the upstream accepts
        nothing from the intermediary; 0 if it is withheld for another reason.
        For ``BUSY``: time after which the intermediary may have capacity
        again; 0 if it will have none.
    :param reaches_others: for ``UNREACHED``: whether the intermediary reaches
        another upstream, so that not its own paths are to blame.
    :param refused: for ``UNREACHED``: whether connections were refused, not
        left without an answer.
    :param timed_out: for ``BROKEN``: whether the upstream did not respond in
        time over an intact connection.
    :param alternatives: names of instances that recently served it as
        intermediaries.
    """

    outcome: DetourOutcome
    status: Count = 0
    headers: Headers = ()
    detail: str = ''
    backoff: Span = 0
    reaches_others: bool = False
    refused: bool = False
    timed_out: bool = False
    alternatives: tuple[str, ...] = ()

    @property
    def proves_unsent(self) -> bool:
        """Tell whether nothing was sent to the upstream."""
        sent = (DetourOutcome.OPENED, DetourOutcome.BROKEN)
        return self.outcome not in sent


@dataclass(frozen=True, slots=True)
class BlockedPath:
    """Hold what is known of a direct path that failed.

    :param since: when it failed first.
    :param probe_at: when it is probed next.
    :param wanted_at: when a request last needed it.
    :param refused: whether connections were refused last, not left without an
        answer.
    :param unreached_until: until when the upstream counts as unreachable by
        all instances.
    :param refuses_all: whether it refused their connections.
    """

    since: Millis
    probe_at: Millis
    wanted_at: Millis
    refused: bool = False
    unreached_until: Millis = 0
    refuses_all: bool = False


@dataclass(frozen=True, slots=True)
class Intermediary:
    """Hold what is known of another instance as an intermediary.

    :param carries: requests of this instance that it is carrying.
    :param worked_at: when it last reached an upstream for this instance;
        ``None`` for never.
    :param avoided_until: it was not reached, or is busy, until then.
    :param busy_until: it has no capacity until then, but may have some later.
    :param doubted_until: it left a request without a response, and is asked
        after all others, until then.
    :param blind_until_by_address: upstreams that it did not reach.
    """

    carries: int = 0
    worked_at: Millis | None = None
    avoided_until: Millis = 0
    busy_until: Millis = 0
    doubted_until: Millis = 0
    blind_until_by_address: dict[str, Millis] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PathState:
    """Hold the blocked paths, and the instances that may be intermediaries."""

    blocked_by_address: dict[str, BlockedPath] = field(default_factory=dict)
    intermediaries_by_name: dict[str, Intermediary] = field(
        default_factory=dict
    )


@dataclass(frozen=True, slots=True)
class DirectFailed:
    """A direct connection to an upstream could not be opened.

    :param refused: whether it was refused, not left without an answer.
    :param probed: whether it was a probe, which no request needs.
    """

    address: str
    refused: bool = False
    probed: bool = False


@dataclass(frozen=True, slots=True)
class DirectReached:
    """A direct connection to an upstream was opened."""

    address: str


@dataclass(frozen=True, slots=True)
class PathUnneeded:
    """No request has needed a blocked path for long."""

    address: str


@dataclass(frozen=True, slots=True)
class PathWanted:
    """A request needs a path that is blocked."""

    address: str


@dataclass(frozen=True, slots=True)
class DetourBegan:
    """An intermediary was sent a request."""

    intermediary: str


@dataclass(frozen=True, slots=True)
class DetourEnded:
    """An intermediary no longer carries a request."""

    intermediary: str


@dataclass(frozen=True, slots=True)
class DetourAnswered:
    """An intermediary answered, or was not reached.

    :param outcome: ``None`` if the intermediary was not reached.
    :param backoff: for ``WITHHELD`` and ``BUSY``, as in the reply.
    :param is_witness: for ``UNREACHED``: whether it reaches another upstream,
        so that not its own paths are to blame.
    """

    intermediary: str
    address: str
    outcome: DetourOutcome | None
    backoff: Millis = 0
    is_witness: bool = False


@dataclass(frozen=True, slots=True)
class DetourUnanswered:
    """A request that an intermediary was sent got no response in time.

    It or the upstream is slow, or stands still.
    """

    intermediary: str


@dataclass(frozen=True, slots=True)
class UnreachedByAll:
    """Instances that reach other upstreams don't reach this one either.

    :param refused: whether it refused their connections.
    """

    address: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class PathBlocked:
    """A direct path was found blocked."""

    address: str


@dataclass(frozen=True, slots=True)
class PathReopened:
    """A direct path works again.

    :param took: for how long it was blocked.
    """

    address: str
    took: Millis


Message = (
    DirectFailed
    | DirectReached
    | PathWanted
    | PathUnneeded
    | DetourBegan
    | DetourEnded
    | DetourAnswered
    | DetourUnanswered
    | UnreachedByAll
)
Action = PathBlocked | PathReopened
Decision = tuple[PathState, tuple[Action, ...]]
