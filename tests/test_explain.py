"""Explain: one timeline from the logs of several instances."""

import json
from pathlib import Path

from cleo.testers.command_tester import CommandTester

from cartdale.command.explaining import ExplainCommand
from cartdale.command.timeline import parse_lines, select_lines


def make_line(at: float, event: str, node: str = 'front-1', **more) -> str:
    fields = {'at': at, 'event': event, 'node': node, **more}
    return f'   1.5 {node} {json.dumps(fields)}'


FIRST = '\n'.join(
    (
        make_line(11.5, 'placed', request='r1', upstream='i-a'),
        make_line(
            19.9, 'upstream changed', change='BeganLeaving', upstream='i-a'
        ),
        make_line(
            11.9, 'upstream changed', change='BeganLeaving', upstream='i-a'
        ),
        make_line(
            11.95, 'upstream changed', change='BeganLeaving', upstream='i-b'
        ),
        make_line(12, 'stream ended', request='r1', end='cut'),
        'not a line of ours',
        '{"at": broken',
    ),
)
SECOND = '\n'.join(
    (
        make_line(11, 'placed', 'front-2', request='r2', upstream='i-a'),
        make_line(11.6, 'store lost', 'front-2', detail='x'),
        make_line(11.7, 'store lost', detail='x'),
    ),
)


def test_own_lines_and_what_bears_on_them_in_order() -> None:
    lines = select_lines(parse_lines((FIRST, SECOND)), 'r1')
    assert [line.at for line in lines] == [11.5, 11.7, 11.9, 12.0]


def test_command_prints_a_timeline(tmp_path: Path) -> None:
    log = tmp_path / 'log'
    log.write_text(FIRST)
    tester = CommandTester(ExplainCommand())
    assert tester.execute(f'r1 {log}') == 0
    shown = tester.io.fetch_output().splitlines()
    assert shown[0].split() == [
        '0.000',
        's',
        'front-1',
        'placed',
        'upstream=i-a',
    ]
    assert '~' in shown[1]
    assert tester.execute(f'unknown {log}') == 1


def test_quarantine_is_told_however_long_before() -> None:
    log = '\n'.join(
        (
            make_line(2, 'quarantined', 'front-2', identity='1f', ended='a b'),
            make_line(3, 'quarantined', 'front-2', identity='2f', ended='c d'),
            make_line(400, 'request barred', request='r1', identity='1f'),
        )
    )
    lines = select_lines(parse_lines((log,)), 'r1')
    assert [line.at for line in lines] == [2, 400]
