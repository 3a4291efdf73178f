"""Read instances' logs, and select what bears on one request."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from cartdale.codec import decode_json
from cartdale.exceptions import UndecodableError

#: What every line carries; it is not repeated in each line of a timeline.
_COMMON = frozenset(
    ('at', 'time', 'level', 'event', 'node', 'instance', 'request')
)
#: Events of an instance that bear on all requests there.
_OF_INSTANCE = frozenset(
    (
        'failure domain changed',
        'leaving',
        'lines dropped',
        'news dropped as old',
        'news not verified',
        'serving',
        'started',
        'store lost',
    )
)
#: Events of an instance that has heard of a newer configuration. Those on
#: versions that a refused request lacked bear on it however old they are.
_OF_VERSIONS = frozenset(
    (
        'configuration behind',
        'configuration fetched',
        'configuration not fetched',
        'configuration not newer',
        'configuration not read',
        'configuration read from store',
    )
)
#: Events of an upstream; those of all instances bear on its requests.
_OF_UPSTREAM = frozenset(
    (
        'emptying upstream',
        'engine says it leaves',
        'upstream changed',
        'upstream ends',
    )
)
#: Events of a request that was submitted before, at any instance and time.
_OF_IDENTITY = frozenset(('quarantined', 'quarantine ended'))
_CONFIGURED = 'configuration in force'
#: Around a request's first and last line, what happened so many seconds
#: before and after is shown as well.
_MARGIN = 3


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line of an instance's log.

    :param at: wall time in seconds.
    :param request: empty when the line names none.
    :param details: everything else that it says, by name.
    """

    at: float
    event: str
    node: str
    request: str
    details: dict[str, Any]

    def names_route(self, route: str) -> bool:
        """Tell whether a change of the configuration may concern a route."""
        changed = str(self.details.get('routes', ''))
        return not changed or route in changed.split(' ')


@dataclass(frozen=True, slots=True)
class Scene:
    """Hold what a request's own lines name.

    :param first: time of its first line.
    :param last: time of its last line.
    :param missing: configuration versions that its instance knew of and did
        not have in force as it refused the request.
    """

    first: float
    last: float
    nodes: frozenset[str]
    upstreams: frozenset[str]
    route: str
    identities: frozenset[str] = frozenset()
    missing: range = range(0)

    def concerns(self, line: LogLine) -> bool:
        """Tell whether a line without a request bears on this one."""
        if line.event in _OF_IDENTITY:
            return line.details.get('identity') in self.identities
        if line.event in _OF_VERSIONS:
            return self._concerns_version(line)
        if not self._covers(line.at):
            return False
        if line.event in _OF_UPSTREAM:
            return line.details.get('upstream') in self.upstreams
        if line.node not in self.nodes:
            return False
        if line.event == _CONFIGURED:
            return line.names_route(self.route)
        return line.event in _OF_INSTANCE

    def _concerns_version(self, line: LogLine) -> bool:
        if line.node not in self.nodes:
            return False
        if self._covers(line.at):
            return True
        return (
            line.at < self.first and line.details.get('newest') in self.missing
        )

    def _covers(self, at: float) -> bool:
        return self.first - _MARGIN <= at <= self.last + _MARGIN


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines of several files in the order of their times.

    What stands before a line's JSON, such as another program's stamp, and
    lines of other forms are passed over.
    """
    lines: list[LogLine] = []
    for text in texts:
        for raw in text.splitlines():
            line = _parse(raw)
            if line is not None:
                lines.append(line)
    lines.sort(key=_time_of)
    return lines


def select_lines(
    lines: Iterable[LogLine], request: str, *, everything: bool = False
) -> list[LogLine]:
    """Return a request's lines, and what happened around them.

    :param everything: keep all lines of its instances and of that time.
    """
    listed = list(lines)
    own = [line for line in listed if line.request == request]
    if not own:
        return []
    scene = describe_scene(own)
    around = [
        line
        for line in listed
        if not line.request and (_is_near(line, scene, everything))
    ]
    return sorted((*own, *around), key=_time_of)


def describe_scene(own: list[LogLine]) -> Scene:
    """Return what a request's lines name.

    :param own: its lines, in the order of their times.
    """
    named = [line.details for line in own]
    refused = [details for details in named if 'newest' in details]
    routes = [details['route'] for details in named if 'route' in details]
    return Scene(
        first=own[0].at,
        last=own[-1].at,
        nodes=frozenset(line.node for line in own),
        upstreams=frozenset(
            details['upstream'] for details in named if 'upstream' in details
        ),
        route=routes[-1] if routes else '',
        identities=frozenset(
            details['identity'] for details in named if 'identity' in details
        ),
        missing=_list_missing(refused),
    )


def _list_missing(refused: list[dict[str, Any]]) -> range:
    """Return the versions newer than the one of a refusal that were known."""
    if not refused:
        return range(0)
    last = refused[-1]
    return range(last.get('version', 0) + 1, last['newest'] + 1)


def format_line(line: LogLine, origin: float) -> str:
    """Return a line for people; its time counts from ``origin``."""
    told = ' '.join(f'{name}={what}' for name, what in line.details.items())
    mark = ' ' if line.request else '~'
    passed = line.at - origin
    return f'{passed:8.3f} s {mark} {line.node} {line.event} {told}'


def _is_near(line: LogLine, scene: Scene, everything: bool) -> bool:
    if everything:
        near = scene.first - _MARGIN <= line.at <= scene.last + _MARGIN
        return near and line.node in scene.nodes
    return scene.concerns(line)


def _parse(raw: str) -> LogLine | None:
    begins = raw.find('{')
    if begins < 0:
        return None
    try:
        fields = decode_json(raw[begins:], dict[str, Any])
    except UndecodableError:
        return None
    if not {'event', 'at'} <= fields.keys():
        return None
    return LogLine(
        at=float(fields['at']),
        event=fields['event'],
        node=fields.get('node', ''),
        request=fields.get('request', ''),
        details={
            name: inner for name, inner in fields.items() if name not in _COMMON
        },
    )


def _time_of(line: LogLine) -> float:
    return line.at
