"""Explain what became of a request, from the logs of several instances."""

import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument

#: What every line carries; it is not repeated in each line of a timeline.
_COMMON = frozenset(
    ('at', 'time', 'level', 'event', 'node', 'instance', 'request')
)
#: Events without a request that bear on all of them.
_SURROUNDINGS = frozenset(
    (
        'configuration in force',
        'emptying upstream',
        'leaving',
        'lines dropped',
        'started',
        'store lost',
        'upstream changed',
        'upstream ends',
    ),
)
#: Around a request's first and last line, what happened so many seconds
#: before and after is shown as well.
_MARGIN = 3
_STANDARD_INPUT = '-'


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

    def mentions(self, upstreams: set[str]) -> bool:
        """Tell whether it bears on upstreams, or names none at all."""
        named = self.details.get('upstream')
        return not named or named in upstreams


class ExplainCommand(Command):
    """Print one timeline of a request from the logs of all instances."""

    name = 'explain'
    description = "Print what became of a request, from instances' logs."
    arguments = [
        argument('request', 'Id of the request.'),
        argument('files', 'Log files; - for standard input.', multiple=True),
    ]

    def handle(self) -> int:
        """Print the timeline; 1 when no line names the request."""
        texts: list[str] = []
        for name in self.argument('files'):
            texts.append(_read(name))
        lines = parse_lines(texts)
        timeline = select_lines(lines, self.argument('request'))
        if not timeline:
            self.line_error('no line names this request')
            return 1
        for line in timeline:
            self.line(format_line(line, timeline[0].at))
        return 0


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


def select_lines(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return a request's lines, and what happened around them."""
    listed = list(lines)
    own = [line for line in listed if line.request == request]
    if not own:
        return []
    first = own[0].at - _MARGIN
    last = own[-1].at + _MARGIN
    nodes = {line.node for line in own}
    upstreams = {line.details.get('upstream', '') for line in own} - {''}
    around = [
        line
        for line in listed
        if line.event in _SURROUNDINGS
        and line.node in nodes
        and first <= line.at <= last
        and line.mentions(upstreams)
    ]
    return sorted((*own, *around), key=_time_of)


def format_line(line: LogLine, origin: float) -> str:
    """Return a line for people; its time counts from ``origin``."""
    told = ' '.join(f'{name}={what}' for name, what in line.details.items())
    mark = ' ' if line.request else '~'
    passed = line.at - origin
    return f'{passed:8.3f} s {mark} {line.node} {line.event} {told}'


def _parse(raw: str) -> LogLine | None:
    begins = raw.find('{')
    if begins < 0:
        return None
    try:
        fields = msgspec.json.decode(raw[begins:], type=dict[str, Any])
    except msgspec.MsgspecError:
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


def _read(name: str) -> str:
    if name == _STANDARD_INPUT:
        return sys.stdin.read()
    return Path(name).read_text(encoding='utf-8')
