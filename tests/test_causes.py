"""Causes: what log lines say became of a request."""

import json
from pathlib import Path
from types import MappingProxyType

import pytest
from cleo.testers.command_tester import CommandTester

from cartdale.command.causes import Cause
from cartdale.command.explaining import ExplainCommand, judge_request
from cartdale.command.summarizing import SummarizeCommand, summarize
from cartdale.command.timeline import parse_lines, select_lines
from cartdale.problems.types import NotRunReason

PLACED = MappingProxyType(
    {
        'event': 'placed',
        'upstream': 'i-a',
        'customer': 'mill',
        'route': 'draft',
    }
)
LOST = MappingProxyType(
    {'event': 'move', 'before': 'rescuing', 'after': 'lost'}
)
CUT = MappingProxyType({'event': 'stream ended', 'end': 'cut', 'events': 40})
RESTART = MappingProxyType({'event': 'started', 'request': '', 'at': 14.0})
FAILED = MappingProxyType(
    {
        'event': 'attempt ended',
        'upstream': 'i-a',
        'ended': 'Answered',
        'good': False,
    }
)
NOT_RUN = MappingProxyType({'event': 'refused', 'problem': 'NotRun', 'held': 3})
UNKNOWN = MappingProxyType(
    {'event': 'refused', 'problem': 'OutcomeUnknown', 'held': 401}
)
NO_ROOM = MappingProxyType(
    {'event': 'no room', 'chance': 0.1, 'expected_wait': 900}
)

BARRED = MappingProxyType(
    {'event': 'request barred', 'ended': 'i-a i-b i-c', 'left': 599000}
)
#: Lines as instances wrote them, by what became of the request.
RECORDED = (
    (Cause.ANSWERED, (PLACED, {'event': 'stream ended', 'end': 'whole'})),
    (Cause.NO_ROOM, (NO_ROOM, {**NOT_RUN, 'reason': 'no upstream accepts'})),
    (
        Cause.NOT_READY,
        ({**NOT_RUN, 'reason': 'no configuration is in force'},),
    ),
    (
        Cause.TURNED_AWAY,
        (
            PLACED,
            {'event': 'attempt ended', 'ended': 'Declined', 'step': 'GiveUp'},
            {**NOT_RUN, 'reason': 'the upstream refused'},
        ),
    ),
    (Cause.NOT_ALLOWED, ({'event': 'refused', 'status': 401},)),
    (
        Cause.TIME_LIMIT,
        (PLACED, {**UNKNOWN, 'detail': 'the time limit passed'}),
    ),
    (
        Cause.LINK_BROKE,
        (PLACED, {**UNKNOWN, 'detail': 'ReadError: reset'}),
    ),
    (
        Cause.UPSTREAM_FAILED,
        (
            PLACED,
            {**FAILED, 'step': 'TryAgain'},
            {**FAILED, 'step': 'PassOn'},
        ),
    ),
    (
        Cause.ENGINE_GONE,
        (
            PLACED,
            {'event': 'turn', 'upstream': 'i-a', 'ahead': 5},
            {'event': 'not moved', 'ahead': 5},
            LOST,
            CUT,
        ),
    ),
    (Cause.ENGINE_LOST, (PLACED, LOST, CUT)),
    (Cause.CALLER_LEFT, (PLACED, {'event': 'caller left'})),
    (
        Cause.CHECK_FAILED,
        (PLACED, {'event': 'request failed', 'detail': 'event 3 after 3'}),
    ),
    (Cause.INSTANCE_LOST, (PLACED, RESTART)),
    (Cause.UNKNOWN, (PLACED,)),
    (
        Cause.EVACUATED,
        ({**NO_ROOM, 'shortage': 'evacuated'}, {**NOT_RUN, 'reason': 'x'}),
    ),
    (
        Cause.COLD,
        ({**NO_ROOM, 'shortage': 'cold'}, {**NOT_RUN, 'reason': 'x'}),
    ),
    (
        Cause.REGION,
        ({**NO_ROOM, 'shortage': 'region'}, {**NOT_RUN, 'reason': 'x'}),
    ),
    (
        Cause.RESTING,
        ({**NO_ROOM, 'shortage': 'resting'}, {**NOT_RUN, 'reason': 'x'}),
    ),
    (
        Cause.LIMITED,
        ({**NO_ROOM, 'shortage': 'limited'}, {**NOT_RUN, 'reason': 'x'}),
    ),
    (
        Cause.LEAVING,
        ({**NO_ROOM, 'shortage': 'leaving'}, {**NOT_RUN, 'reason': 'x'}),
    ),
    (
        Cause.NOT_ALLOWED,
        ({'event': 'refused', 'status': 404, 'version': 3, 'newest': 3},),
    ),
    (
        Cause.NOT_CURRENT,
        ({'event': 'refused', 'status': 404, 'version': 3, 'newest': 5},),
    ),
    (
        Cause.NOT_CURRENT,
        ({**NOT_RUN, 'reason': 'a newer configuration is being fetched'},),
    ),
    (
        Cause.HELD_BYTES,
        (
            {'event': 'body refused unread', 'size': 9, 'limit': 5},
            {**NOT_RUN, 'reason': NotRunReason.HELD_BYTES.value},
        ),
    ),
    (Cause.NOT_READ, (PLACED, {'event': 'response gave way'}, CUT)),
    (Cause.NOT_READ, (PLACED, {'event': 'response gave way'})),
    (
        Cause.NOT_READ,
        (PLACED, {'event': 'response not read in its time'}, CUT),
    ),
    (
        Cause.STOPPING,
        (
            {'event': 'outlasts this instance', 'stops_in': 4600},
            {**NOT_RUN, 'reason': NotRunReason.LEAVING},
        ),
    ),
)


FORGOTTEN = (
    Cause.FORGOTTEN,
    (PLACED, {**UNKNOWN, 'detail': 'nothing of it at its engine'}),
)
ENDED = (
    Cause.INSTANCE_ENDED,
    (PLACED, {'event': 'request cut', 'held': 12}),
)


def write_lines(lines) -> str:
    return '\n'.join(
        json.dumps(
            {'at': 10 + number / 10, 'node': 'front-1', 'request': 'r1', **line}
        )
        for number, line in enumerate(lines)
    )


@pytest.mark.parametrize(('cause', 'lines'), (*RECORDED, FORGOTTEN, ENDED))
def test_cause_is_named(cause: Cause, lines) -> None:
    parsed = parse_lines((write_lines(lines),))
    assert judge_request(parsed, 'r1').cause is cause


# Guards against a cut answer whose cause is in the logs and is not named.
@pytest.mark.parametrize(
    'lines',
    [
        (PLACED, {**UNKNOWN, 'detail': 'not written whole'}),
        (PLACED, {'event': 'stream lost', 'detail': 'not written whole'}, CUT),
    ],
)
def test_what_the_transport_saw_is_named(lines: tuple) -> None:
    parsed = parse_lines((write_lines(lines),))
    assert 'not written whole' in judge_request(parsed, 'r1').detail


@pytest.mark.parametrize(
    'lines',
    [
        (BARRED, {**NOT_RUN, 'reason': 'upstreams ended'}),
        (PLACED, BARRED, {**UNKNOWN, 'detail': 'an earlier attempt'}),
        (PLACED, {'event': 'taken back'}, {**UNKNOWN, 'detail': 'earlier'}),
        (PLACED, BARRED, CUT),
    ],
)
def test_quarantine_is_named(lines: tuple) -> None:
    parsed = parse_lines((write_lines(lines),))
    assert judge_request(parsed, 'r1').cause is Cause.QUARANTINED


def test_whole_answer_that_paused_is_late() -> None:
    pause = {
        'event': 'pause too long',
        'upstream': 'i-a',
        'took': 240,
        'events': 31,
    }
    whole = {'event': 'stream ended', 'end': 'whole'}
    lines = parse_lines((write_lines((PLACED, pause, whole)),))
    verdict = judge_request(lines, 'r1')
    assert verdict.cause is Cause.ANSWERED
    assert verdict.detail == 'late: paused 240 ms at i-a after 31 events'


def test_pause_at_a_slow_engine_names_its_speed() -> None:
    pause = {
        'event': 'pause too long',
        'upstream': 'i-a',
        'took': 240,
        'events': 31,
        'factor': 1.67,
        'slowness': 2.5,
    }
    whole = {'event': 'stream ended', 'end': 'whole'}
    lines = parse_lines((write_lines((PLACED, pause, whole)),))
    verdict = judge_request(lines, 'r1')
    assert '(takes 1.67 of the mean time, 2.5 of that then)' in verdict.detail


def test_explain_closes_with_the_cause(tmp_path: Path) -> None:
    log = tmp_path / 'log'
    log.write_text(write_lines(RECORDED[8][1]))
    tester = CommandTester(ExplainCommand())
    assert tester.execute(f'r1 {log}') == 0
    shown = tester.io.fetch_output().splitlines()
    assert shown[-1] == (
        'cause: its engine left before its memory was copied '
        '(after 40 events, 5 copies before it)'
    )
    assert tester.execute(f'r1 {log} --json') == 0
    document = json.loads(tester.io.fetch_output())
    assert document['cause'] == Cause.ENGINE_GONE.value
    assert len(document['lines']) == 5


def test_only_changes_of_its_own_route_are_shown() -> None:
    changes = [
        {'event': 'configuration in force', 'request': '', 'routes': routes}
        for routes in ('other', 'draft other', '')
    ]
    lines = parse_lines((write_lines((PLACED, *changes, CUT)),))
    assert [line.details.get('routes') for line in select_lines(lines, 'r1')][
        1:-1
    ] == ['draft other', '']
    assert len(select_lines(lines, 'r1', everything=True)) == 5


def test_news_of_its_engine_are_shown_from_every_instance() -> None:
    news = {'event': 'upstream changed', 'request': '', 'node': 'front-2'}
    lines = parse_lines(
        (
            write_lines(
                (
                    PLACED,
                    {**news, 'upstream': 'i-a'},
                    {**news, 'upstream': 'i-b'},
                    CUT,
                )
            ),
        )
    )
    shown = select_lines(lines, 'r1')
    assert [line.details.get('upstream') for line in shown][:2] == [
        'i-a',
        'i-a',
    ]
    assert len(shown) == 3


# Guards against a refusal under an older configuration whose cause lies too
# far back to be shown.
def test_newer_versions_that_a_refusal_lacked_are_shown() -> None:
    refused = {'event': 'refused', 'status': 404, 'version': 3, 'newest': 5}
    around = [
        {'event': 'configuration behind', 'request': '', 'at': 1.0, **more}
        for more in (
            {'newest': 5},
            {'newest': 4},
            {'newest': 3},
            {'newest': 5, 'node': 'front-2'},
            {'newest': 6, 'at': 12.0},
        )
    ]
    shown = select_lines(parse_lines((write_lines((refused, *around)),)), 'r1')
    assert [line.details['newest'] for line in shown] == [5, 4, 5, 6]


def test_failures_are_counted_by_what_they_share(tmp_path: Path) -> None:
    text = '\n'.join(
        write_lines(lines).replace('"r1"', f'"r{number}"')
        for number, (_, lines) in enumerate(RECORDED)
    )
    summary = summarize(parse_lines((text,)))
    assert summary.requests == len(RECORDED)
    # Two were served or left by themselves.
    assert summary.failed == len(RECORDED) - 2
    assert summary.tables['cause'][Cause.ENGINE_GONE.value] == 1
    assert summary.tables['customer']['mill'] == 12
    log, page = tmp_path / 'log', tmp_path / 'page.html'
    log.write_text(text)
    tester = CommandTester(SummarizeCommand())
    assert tester.execute(f'{log} --html {page}') == 0
    assert 'by upstream' in tester.io.fetch_output()
    assert '<svg' in page.read_text()


def test_refusal_by_the_order_says_who_went_before() -> None:
    order = {
        'urgent_ahead': 3.0,
        'owed_ahead': 2.0,
        'alike_ahead': 1.0,
        'own_ahead': 4,
        'reserve': 800,
        'news_age': 120,
    }
    refusal = {**NOT_RUN, 'reason': 'no upstream accepts'}
    written = write_lines(({**NO_ROOM, **order}, refusal))
    verdict = judge_request(parse_lines((written,)), 'r1')
    assert verdict.cause is Cause.NO_ROOM
    assert '3.0 more urgent, 2.0 of customers served less' in verdict.detail
    assert 'news 120 ms old' in verdict.detail
