"""Evidence against requests and parts of prompts, and messages about it."""

from dataclasses import dataclass, field

import msgspec

from cartdale.clock import Millis
from cartdale.quarantine.identity import Identity
from cartdale.ranges import Age, Ordinal


@dataclass(frozen=True, slots=True)
class Crash:
    """An upstream crashed as it began to run a request.

    :param upstream: its id.
    :param born: start time of the incarnation that crashed, in Unix
        milliseconds, since an upstream may restart under its id; 0 where
        upstreams don't report one.
    """

    identity: Identity
    upstream: str
    born: Millis = 0


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold a crash that this instance observed or a peer reported.

    :param seen_at: when the upstream crashed, in monotonic milliseconds.
    :param began_at: when it began the request, as far as known.
    :param parts: shared parts of the request's prompt, in prompt order.
    """

    crash: Crash
    seen_at: Millis
    began_at: Millis = 0
    parts: tuple[Identity, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """Hold the crashes and the latest survival of one request.

    :param evidence: crashes of upstreams that ran it, the oldest first.
    :param ran_at: when it last ran without crashing its upstream, as far as
        known; ``None`` for never.
    :param changed_at: when the record last changed on this instance.
    """

    evidence: tuple[Evidence, ...] = ()
    ran_at: Millis | None = None
    changed_at: Millis = 0


@dataclass(frozen=True, slots=True)
class PartCrash:
    """An upstream crashed as it began to run a request with a part.

    :param upstream: its id.
    :param born: start time of the incarnation that crashed, as in ``Crash``.
    :param identity: identity of the request.
    :param parts: shared parts of the request's prompt, in prompt order.
    """

    upstream: str
    born: Millis
    identity: Identity
    seen_at: Millis
    began_at: Millis
    parts: tuple[Identity, ...]


@dataclass(frozen=True, slots=True)
class PartRecord:
    """Hold the crashes and the latest survival of one part of prompts.

    :param crashes: one for each incarnation of an upstream, the oldest first.
    :param ran_at: when a run of a request with the part began that got past
        its start, the latest as far as known; ``None`` for never.
    :param changed_at: when the record last changed on this instance.
    """

    crashes: tuple[PartCrash, ...] = ()
    ran_at: Millis | None = None
    changed_at: Millis = 0


class PartNews(msgspec.Struct, frozen=True, array_like=True):
    """Name a part of a prompt to a peer.

    :param ran_age: milliseconds since the latest run with it began that got
        past its start; ``None`` if none did.
    """

    part: Identity
    ran_age: Age | None = None


class CrashNews(msgspec.Struct, frozen=True, array_like=True):
    """Report a crash to a peer, in at most 64 bytes and 16 for each part.

    :param age: milliseconds since the crash; an age, since peers' clocks
        differ.
    :param ran_age: milliseconds since the request last survived elsewhere;
        ``None`` if it never did.
    :param ran_for: milliseconds from when the upstream began the request to
        its crash.
    :param parts: shared parts of the request's prompt, in prompt order.
    """

    identity: Identity
    upstream: str
    born: Ordinal
    age: Age
    ran_age: Age | None = None
    ran_for: Age = 0
    parts: tuple[PartNews, ...] = ()


@dataclass(frozen=True, slots=True)
class QuarantineState:
    """Hold a record of each request and part that an upstream crashed on.

    :param blamed_requests: requests that are sent to no upstream.
    :param blamed_parts: parts with which no request is sent to any upstream.
    """

    records_by_identity: dict[Identity, RequestRecord] = field(
        default_factory=dict
    )
    records_by_part: dict[Identity, PartRecord] = field(default_factory=dict)
    blamed_requests: frozenset[Identity] = frozenset()
    blamed_parts: frozenset[Identity] = frozenset()


@dataclass(frozen=True, slots=True)
class UpstreamEnded:
    """This instance observed the crash of an upstream.

    :param sent_at: when the request was sent there, in monotonic
        milliseconds.
    :param begun: whether the upstream showed that it had begun the request,
        which proves that it was alive after the request was sent.
    :param parts: shared parts of the request's prompt, in prompt order.
    :param began_at: when the upstream showed that; ``None`` if it did not.
    :param ended_at: when its crash broke the link; ``None`` for just now.
    """

    crash: Crash
    sent_at: Millis = 0
    begun: bool = False
    parts: tuple[Identity, ...] = ()
    began_at: Millis | None = None
    ended_at: Millis | None = None


@dataclass(frozen=True, slots=True)
class CrashesTold:
    """A peer reported crashes."""

    crashes: tuple[CrashNews, ...]


@dataclass(frozen=True, slots=True)
class RanOn:
    """A request got a complete response, or ran on past its start.

    :param ran_at: time at which it did.
    """

    identity: Identity
    ran_at: Millis


@dataclass(frozen=True, slots=True)
class PartRanOn:
    """A request with a part got a complete response, or ran on past its start.

    :param began_at: when its run began.
    """

    part: Identity
    began_at: Millis


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Time has passed; drop expired evidence."""


@dataclass(frozen=True, slots=True)
class Quarantined:
    """A request, or one with this part, is sent to no upstream any more."""

    identity: Identity


@dataclass(frozen=True, slots=True)
class Released:
    """A request, or one with this part, may be sent again."""

    identity: Identity


Message = UpstreamEnded | CrashesTold | RanOn | PartRanOn | TimePassed
Action = Quarantined | Released
Decision = tuple[QuarantineState, tuple[Action, ...]]
"""The next state, and the requests to quarantine or release."""
