"""Explain what became of a request, from the logs of several instances."""

import sys
from pathlib import Path

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option

from cartdale.command.causes import Verdict, name_cause
from cartdale.command.timeline import (
    LogLine,
    format_line,
    parse_lines,
    select_lines,
)

_STANDARD_INPUT = '-'


class ExplainCommand(Command):
    """Print one timeline of a request from the logs of all instances."""

    name = 'explain'
    description = "Print what became of a request, from instances' logs."
    arguments = [
        argument('request', 'Id of the request.'),
        argument('files', 'Log files; - for standard input.', multiple=True),
    ]
    options = [
        option('all', 'a', 'All lines of its instances around it.'),
        option('json', 'j', 'One JSON document instead of lines.'),
    ]

    def handle(self) -> int:
        """Print the timeline and the cause; 1 when nothing names it."""
        request: str = self.argument('request')
        lines = read_lines(self.argument('files'))
        timeline = select_lines(
            lines, request, everything=bool(self.option('all'))
        )
        if not timeline:
            self.line_error('no line names this request')
            return 1
        verdict = judge_request(lines, request)
        if self.option('json'):
            self.line(_encode(timeline, verdict))
            return 0
        for line in timeline:
            self.line(format_line(line, timeline[0].at))
        told = f' ({verdict.detail})' if verdict.detail else ''
        self.line(f'cause: {verdict.cause.value}{told}')
        return 0


def judge_request(lines: list[LogLine], request: str) -> Verdict:
    """Return what became of a request that some line names."""
    own = [line for line in lines if line.request == request]
    restarts = [
        line.at
        for line in lines
        if line.event == 'started' and line.node == own[-1].node
    ]
    return name_cause(own, restarts)


def read_lines(files: list[str]) -> list[LogLine]:
    """Read log files; ``-`` is standard input."""
    texts: list[str] = []
    for name in files:
        if name == _STANDARD_INPUT:
            texts.append(sys.stdin.read())
        else:
            texts.append(Path(name).read_text(encoding='utf-8'))
    return parse_lines(texts)


def _encode(timeline: list[LogLine], verdict: Verdict) -> str:
    document = {
        'cause': verdict.cause.value,
        'detail': verdict.detail,
        'lines': [msgspec.to_builtins(line) for line in timeline],
    }
    return msgspec.json.encode(document).decode()
