"""Settings, command line, reports and the engine model."""

from pathlib import Path

import pytest
from cleo.testers.application_tester import ApplicationTester

from cartdale.clock import MINUTE_MS, VirtualClock
from cartdale.command.main import make_application
from cartdale.declarations.types import Objectives
from cartdale.exceptions import BadInputError
from cartdale.model.engine import EngineModel
from cartdale.model.types import Hardware, Job
from cartdale.reports.measurements import MeasurementStore, merge_parts
from cartdale.reports.meter import StreamMeter
from cartdale.reports.render import render_html, render_text
from cartdale.reports.types import Outcome
from cartdale.settings.load import load_keys, load_settings

SETTINGS = """{
  // one instance
  "name": "a", "failure_domain": "d", "region": "r",
  "callers": {"address": "127.0.0.1", "port": 1},
  "peers": {"address": "127.0.0.1", "port": %s},
  "operators": {"address": "127.0.0.1", "port": 3},
  "store": "http://127.0.0.1:4", "instances": "http://127.0.0.1:5/instances",
  "cluster_key_files": ["c.key"], "operator_key_files": ["o.key"]%s
}"""


def write(base: Path, port: str = '2', more: str = '') -> Path:
    path = base / 's.json'
    path.write_text(SETTINGS % (port, more))
    return path


def test_good_settings_load(tmp_path: Path) -> None:
    (tmp_path / 'c.key').write_text('c' * 20)
    (tmp_path / 'o.key').write_text('o' * 20)
    settings = load_settings(write(tmp_path))
    assert settings.peers.port == 2
    keys = load_keys(settings, tmp_path)
    assert 'c' * 20 not in repr(keys)


@pytest.mark.parametrize(
    ('port', 'more', 'expected'),
    [
        ('70000', '', 's.json:5: peers.port: 0 to 65535'),
        ('1', '', 's.json:5: peers.port: not the port of callers'),
        ('2', ', "colour": 1', 's.json:8: colour: no such field'),
        ('"2"', '', "s.json:5: peers.port: expected int, not '2'"),
    ],
)
def test_bad_settings_name_file_line_and_field(
    tmp_path: Path, port: str, more: str, expected: str
) -> None:
    with pytest.raises(BadInputError) as caught:
        load_settings(write(tmp_path, port, more))
    assert caught.value.format_message() == f'{tmp_path}/{expected}'


def test_a_short_key_is_refused(tmp_path: Path) -> None:
    (tmp_path / 'c.key').write_text('short')
    settings = load_settings(write(tmp_path))
    with pytest.raises(BadInputError) as caught:
        load_keys(settings, tmp_path)
    assert len(caught.value.faults) == 1 or len(caught.value.faults) == 2


def run_command(line: str) -> tuple[int, str]:
    tester = ApplicationTester(make_application())
    code = tester.execute(line)
    return code, tester.io.fetch_output() + tester.io.fetch_error()


def test_validate_reports_faults_with_its_exit_code(tmp_path: Path) -> None:
    (tmp_path / 'a.json').write_text('{"models": {"m": {}}}')
    code, output = run_command(f'validate {tmp_path}')
    assert code == 2
    assert 'a.json:1: models.m.version: a required field' in output


def test_the_examples_are_valid() -> None:
    code, output = run_command('validate examples')
    assert code == 0
    assert 'services: 4' in output


def test_an_unreachable_instance_has_its_own_exit_code(tmp_path: Path) -> None:
    key = tmp_path / 'k'
    key.write_text('operator')
    code, output = run_command(
        f'status --instance http://127.0.0.1:9 --key-file {key}'
    )
    assert code == 3
    assert 'no answer' in output


def test_a_missing_key_is_a_usage_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.delenv('CARTDALE_OPERATOR_KEY_FILE', raising=False)
    assert run_command('status')[0] == 2


OBJECTIVES = Objectives(good_share=0.99, stall_ms=1000)


def make_store(name: str, stalled: int, good: int) -> MeasurementStore:
    clock = VirtualClock(0, 100 * MINUTE_MS)
    store = MeasurementStore(name, clock, lambda service: OBJECTIVES)
    for number in range(stalled + good):
        meter = StreamMeter('s', 'c', 0, 100)
        meter.note(1, 50)
        meter.note(1, 5050 if number < stalled else 70)
        store.record(meter.finish(Outcome.COMPLETE))
    return store


def test_reports_merge_and_alert() -> None:
    parts = [
        make_store('a', 30, 20).export(),
        make_store('b', 0, 50).export(),
    ]
    report = merge_parts(parts, ('c',), 100)
    total = report.lines[0]
    assert (total.counts.total, total.counts.stalled) == (100, 30)
    burn = {(rate.measure, rate.window): rate for rate in total.burn}
    assert burn['stalled', '5m/1h'].short == pytest.approx(30)
    assert burn['stalled', '5m/1h'].alerting
    assert not burn['late', '5m/1h'].alerting
    text = render_text(report)
    assert 'ALERT stalled' in text
    assert 'silent: c' in text
    page = render_html(report)
    assert '<svg' in page
    assert 'src=' not in page


def test_old_minutes_burn_nothing() -> None:
    report = merge_parts([make_store('a', 5, 0).export()], (), 100 + 61)
    burn = {(one.measure, one.window): one for one in report.lines[0].burn}
    assert burn['stalled', '5m/1h'].short == 0


def test_the_model_preempts_the_least_protected() -> None:
    model = EngineModel(Hardware(memory_tokens=60, max_sequences=8))
    for name in ('old', 'young'):
        assert model.accept(Job(name, 20, 100))
    model.set_priority('young', 5)
    preempted: list[str] = []
    for _ in range(20):
        preempted.extend(model.step().preempted)
    assert preempted == ['old']
    assert model.report(0).preemptions == 1


def test_the_model_keeps_its_memory() -> None:
    model = EngineModel(Hardware(memory_tokens=500, max_sequences=8))
    for number in range(12):
        model.accept(Job(f'j{number}', 30, 80))
    ended = 0
    while model.busy:
        ended += len(model.step().ended)
        assert model.report(0).used_tokens <= 500
    assert ended == 12
    assert model.report(0).used_tokens == 0


def test_a_cached_prefix_shortens_the_first_step() -> None:
    model = EngineModel(Hardware())
    durations = []
    for name in ('first', 'second'):
        model.accept(Job(name, 400, 1, 0, 'p', 300))
        durations.append(model.step().duration)
    assert durations[1] < durations[0]
