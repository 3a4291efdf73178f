"""Streams without framing that end one after another, and their backups.

Guards against streams that end as complete since an engine that shuts down in
order closed them one by one, and answered for some time after.
"""

import pytest
import trio

from cartdale.relay.end_proof import EndProof
from cartdale_standins.platform_engine import STRIDE
from cartdale_standins.unframed import EarlyEnd
from tests.platform_stage import (
    PlatformStage,
    count_runs,
    draft,
    find_runner,
    until,
    whole,
)
from tests.test_crash_probes import collect_lines
from tests.test_unframed_answers import (
    DIRECTLY_OR_NOT,
    EVENTS,
    FEW_EVENTS,
    PASSED,
    count_resumed,
    open_unframed,
    stream,
)
from tests.test_unproved_ends import count_backups, stream_together

#: Events after which an engine ends its generations well.
ENOUGH = 40
#: Events of streams that are long enough to be closed one after another, and of
#: the first one when it is closed: by then all are past their start.
MANY_EVENTS = 120
MIDDLE = 30
#: Streams with all their tokens after which an end without proof is unusual.
PROVED = 4


def count_kept(stage: PlatformStage) -> int:
    return sum(len(each.memory.backed_up) for each in stage.engines)


# Guards against streams that look whole, and are not resumed, since their
# engine closed them one after another, answered on and ended only then.
@pytest.mark.parametrize(('pause', 'linger'), [(0.15, 0.9), (0.4, 1.5)])
async def test_streams_that_are_closed_one_after_another_resume(
    monkeypatch, pause: float, linger: float
) -> None:
    names = [f'r{number}' for number in range(9)]
    async with open_unframed(monkeypatch, 3) as stage:
        stage.early_ends.append(EarlyEnd(MIDDLE, lingers=linger, pause=pause))
        ended = await stream_together(stage, names, 0.02, MANY_EVENTS)
        for name in names:
            assert ended[name] == (whole(name, MANY_EVENTS), True)
            assert count_runs(stage, name) == 1


# Guards against the same where no backup is kept: their engine must live on for
# longer once most of what it ran has ended.
@pytest.mark.parametrize(('pause', 'linger'), [(0.15, 0.9), (0.15, 0.4)])
async def test_streams_without_backups_that_are_closed_in_turn_are_not_whole(
    monkeypatch, pause: float, linger: float
) -> None:
    names = [f'r{number}' for number in range(3)]
    async with open_unframed(monkeypatch) as stage:
        stage.early_ends.append(EarlyEnd(MIDDLE, lingers=linger, pause=pause))
        ended = await stream_together(stage, names, 0.05, MANY_EVENTS)
        for name, (received, complete) in ended.items():
            assert whole(name, MANY_EVENTS).startswith(received)
            assert complete is (received == whole(name, MANY_EVENTS))


# Guards against a short stream that looks whole since it has no backup, though
# its service was seen to answer streams without framing.
@DIRECTLY_OR_NOT
async def test_short_stream_that_is_closed_early_resumes_from_its_backup(
    monkeypatch, detour: bool
) -> None:
    async with open_unframed(monkeypatch, 3, detour=detour) as stage:
        await stream(stage, 'r0', events=FEW_EVENTS)
        stage.early_ends.append(EarlyEnd(PASSED))
        ended = await stream(stage, 'r1', events=FEW_EVENTS)
        assert ended == (whole('r1', FEW_EVENTS), True)
        assert count_runs(stage, 'r1') == 1
        assert count_resumed(stage, 'r1') == 1


# Guards against a stream that looks whole after its first events, though its
# backup, which was not asked since they are few, tells that it was not over.
@DIRECTLY_OR_NOT
@pytest.mark.parametrize('passed', [1, 2, 10])
async def test_stream_that_is_closed_after_few_events_goes_on(
    monkeypatch, detour: bool, passed: int
) -> None:
    async with open_unframed(monkeypatch, 3, detour=detour) as stage:
        stage.early_ends.append(EarlyEnd(passed))
        assert await stream(stage, 'r1') == (whole('r1', EVENTS), True)
        assert count_runs(stage, 'r1') == 1
        assert count_resumed(stage, 'r1') == 1


# Guards against a stream that asks one backup after another since none of them
# has more of it.
async def test_few_events_that_are_all_are_asked_for_once(monkeypatch) -> None:
    async with open_unframed(monkeypatch, 2) as stage:
        for engine in stage.engines:
            engine.stream_faults.ends_after = 5
            engine.stream_faults.keeps_backups = True
        assert await stream(stage, 'r1') == (whole('r1', 5), True)
        assert count_runs(stage, 'r1') == 1
        assert count_resumed(stage, 'r1') == 1


async def lose_backup_at_stop(stage: PlatformStage) -> None:
    """End the engine of a backup as that of the run is told to stop it."""
    runner = await find_runner(stage, 'r1')
    runner.copy_gate = trio.Event()
    await until(lambda: runner.stops_by_request.get('r1'))
    kept = next(each for each in stage.engines if each is not runner)
    kept.crashes.down_seconds = 20
    kept.crash('nobody')


# Guards against a stream that looks whole though its engine, which had answered
# after the end, answered no more when it was told to stop the run.
async def test_stream_whose_engine_answers_no_stop_is_not_whole(
    monkeypatch,
) -> None:
    async with open_unframed(monkeypatch, 2) as stage:
        for engine in stage.engines:
            engine.stream_faults.unlisted = True
        stage.early_ends.append(EarlyEnd(PASSED, runs_on=True))
        stage.nursery.start_soon(lose_backup_at_stop, stage)
        ended = await stream(stage, 'r1', events=MANY_EVENTS)
        assert ended == (whole('r1', PASSED), False)
        assert count_runs(stage, 'r1') == 1


async def rest_backup(stage: PlatformStage) -> None:
    """Let the engine of a backup ask for rest when it is asked to go on."""
    await until(lambda: count_backups(stage, 'r1'))
    kept = next(each for each in stage.engines if 'r1' in each.memory.backed_up)
    kept.faults.rejections = 1
    kept.faults.retry_after = '9'


# Guards against a stream that looks whole, though it may run again, since the
# engine of its backup wants rest and so does not tell whether it was over.
@DIRECTLY_OR_NOT
@pytest.mark.parametrize('early', [False, True])
async def test_stream_whose_backup_tells_nothing_runs_again_where_it_may(
    monkeypatch, detour: bool, early: bool
) -> None:
    length = EVENTS if early else ENOUGH
    async with open_unframed(monkeypatch, 3, detour=detour) as stage:
        if early:
            stage.early_ends.append(EarlyEnd(PASSED))
        else:
            for engine in stage.engines:
                engine.stream_faults.ends_after = ENOUGH
        stage.nursery.start_soon(rest_backup, stage)
        ended = await stream(stage, 'r1', '/tag/a')
        assert ended == (whole('r1', length), True)
        assert count_runs(stage, 'r1') == 2
        assert not count_resumed(stage, 'r1')


# Guards against a stream that looks whole, though it may run again, since its
# backup was lost before its end as the engine that kept it leaves.
@DIRECTLY_OR_NOT
@pytest.mark.parametrize('early', [False, True])
async def test_stream_whose_backup_was_lost_runs_again_where_it_may(
    monkeypatch, detour: bool, early: bool
) -> None:
    length = MANY_EVENTS if early else ENOUGH
    async with open_unframed(monkeypatch, 3, detour=detour) as stage:
        if early:
            stage.early_ends.append(EarlyEnd(ENOUGH))
        else:
            for engine in stage.engines:
                engine.stream_faults.ends_after = ENOUGH

        async def leave() -> None:
            await until(lambda: count_backups(stage, 'r1'))
            stage.drain(
                next(
                    each
                    for each in stage.engines
                    if 'r1' in each.memory.backed_up
                )
            )

        stage.nursery.start_soon(leave)
        ended = await stream(stage, 'r1', '/tag/a', events=MANY_EVENTS)
        assert ended == (whole('r1', length), True)
        assert count_runs(stage, 'r1') == 2
        assert not count_resumed(stage, 'r1')


# Guards against streams that end as complete while nothing of them shows that
# they are, and nobody can read it in the log.
async def test_end_that_nothing_of_the_stream_proves_is_logged(
    monkeypatch,
) -> None:
    lines = collect_lines('end not proved')
    async with open_unframed(monkeypatch) as stage:
        stage.early_ends.append(EarlyEnd(PASSED))
        await stream(stage, 'r1')
        await stream(stage, 'r2')
    assert [
        (line['request'], line['events'], line['backup']) for line in lines
    ] == [('r1', PASSED, 'never had')]


# Guards against ends that are told as unproved though the backup is gone.
async def test_end_that_a_backup_proves_is_told_so(monkeypatch) -> None:
    ends = collect_lines('stream ended')
    unproved = collect_lines('end not proved')
    async with open_unframed(monkeypatch, 2) as stage:
        for engine in stage.engines:
            engine.stream_faults.ends_after = ENOUGH
        assert await stream(stage, 'r1') == (whole('r1', ENOUGH), True)
    assert [line['proof'] for line in ends] == [EndProof.NO_COPY]
    assert not unproved


# Guards against a stream whose end counts by an earlier one: it went on at its
# backup, and is closed there too.
async def test_stream_that_is_closed_twice_goes_on_twice(monkeypatch) -> None:
    async with open_unframed(monkeypatch, 3) as stage:
        stage.early_ends += [EarlyEnd(PASSED), EarlyEnd(PASSED)]
        ended = await stream(stage, 'r1', events=MANY_EVENTS)
        assert ended == (whole('r1', MANY_EVENTS), True)
        assert count_runs(stage, 'r1') == 1
        assert count_resumed(stage, 'r1') == 2


# Guards against a stream that looks whole since its engine closed it first, and
# no backup tells that it was not over.
async def test_stream_without_a_backup_that_is_closed_first_is_not_whole(
    monkeypatch,
) -> None:
    async with open_unframed(monkeypatch) as stage:
        stage.early_ends.append(EarlyEnd(MIDDLE, lingers=0.9))
        received, complete = await stream(stage, 'r1', events=MANY_EVENTS)
        assert whole('r1', MANY_EVENTS).startswith(received)
        assert complete is (received == whole('r1', MANY_EVENTS))


# Guards against the same where the engine answers on for longer than its end is
# watched: the other streams of the service end with proof.
@DIRECTLY_OR_NOT
async def test_early_end_is_cut_where_others_have_all_their_tokens(
    monkeypatch, detour: bool
) -> None:
    lines = collect_lines('end not proved')
    async with open_unframed(monkeypatch, detour=detour) as stage:
        for number in range(PROVED):
            name = f'r{number}'
            assert await stream(stage, name) == (whole(name, EVENTS), True)
        stage.early_ends.append(EarlyEnd(MIDDLE, lingers=4))
        ended = await stream(stage, 'early', events=MANY_EVENTS)
        assert ended == (whole('early', MIDDLE), False)
        assert count_runs(stage, 'early') == 1
    assert [line['whole'] for line in lines] == [False]


# Guards against the same where there is a backup, and its engine wants rest.
@DIRECTLY_OR_NOT
async def test_early_end_is_cut_though_its_backup_tells_nothing(
    monkeypatch, detour: bool
) -> None:
    async with open_unframed(monkeypatch, 2, detour=detour) as stage:
        for number in range(PROVED):
            name = f'r{number}'
            assert await stream(stage, name) == (whole(name, EVENTS), True)
        stage.early_ends.append(EarlyEnd(MIDDLE))
        stage.nursery.start_soon(rest_backup, stage)
        ended = await stream(stage, 'r1', events=MANY_EVENTS)
        assert ended == (whole('r1', MIDDLE), False)


# Guards against a stream that looks whole since its engine's peer keeps no copy
# of it, though no engine of the service ever kept any.
@DIRECTLY_OR_NOT
async def test_missing_copy_is_no_proof_where_none_are_kept(
    monkeypatch, detour: bool
) -> None:
    async with open_unframed(monkeypatch, 2, detour=detour) as stage:
        for engine in stage.engines:
            engine.stream_faults.keeps_none = True
            engine.stream_faults.tells_copies = True
        for number in range(PROVED):
            name = f'r{number}'
            assert await stream(stage, name) == (whole(name, EVENTS), True)
        stage.early_ends.append(EarlyEnd(MIDDLE))
        ended = await stream(stage, 'early', events=MANY_EVENTS)
        assert ended == (whole('early', MIDDLE), False)
        assert count_runs(stage, 'early') == 1


# Guards against a caller that has all events, and is cut each time that it asks
# for the rest.
async def test_rest_of_a_whole_stream_is_whole_where_ends_have_proof(
    monkeypatch,
) -> None:
    async with open_unframed(monkeypatch) as stage:
        for number in range(PROVED):
            name = f'r{number}'
            assert await stream(stage, name) == (whole(name, EVENTS), True)
        answer = await draft(
            stage, 'rest', EVENTS * STRIDE, '/tag/a', str(EVENTS)
        )
        assert answer.status_code == 200
        assert not answer.content


# Guards against a sound stream that is cut since no copy of it is left, at a
# service that keeps copies, and runs so little that no report showed any.
@DIRECTLY_OR_NOT
async def test_missing_copy_is_a_proof_where_copies_are_kept(
    monkeypatch, detour: bool
) -> None:
    ends = collect_lines('stream ended')
    async with open_unframed(monkeypatch, 2, detour=detour) as stage:
        for engine in stage.engines:
            engine.stream_faults.tells_copies = True
            engine.stream_faults.ends_after = MANY_EVENTS
        for number in range(PROVED):
            name = f'r{number}'
            ended = await stream(stage, name, events=MANY_EVENTS)
            assert ended == (whole(name, MANY_EVENTS), True)
        for engine in stage.engines:
            engine.stream_faults.ends_after = ENOUGH
        ended = await stream(stage, 'early', events=MANY_EVENTS)
        assert ended == (whole('early', ENOUGH), True)
    assert ends[-1]['proof'] == EndProof.NO_COPY


# Guards against sound streams that are cut since nothing shows their ends, at a
# service at which that is usual.
async def test_sound_ends_without_proof_are_whole_where_they_are_usual(
    monkeypatch,
) -> None:
    lines = collect_lines('end not proved')
    async with open_unframed(monkeypatch) as stage:
        stage.engines[0].stream_faults.ends_after = ENOUGH
        for number in range(PROVED):
            for kind, events in (('short', EVENTS), ('full', ENOUGH)):
                name = f'{kind}-{number}'
                ended = await stream(stage, name, events=events)
                assert ended == (whole(name, ENOUGH), True)
    assert [line['whole'] for line in lines] == [True] * PROVED


# Guards against a stream that looks whole since its engine closed it alone, in
# order, and lives.
@DIRECTLY_OR_NOT
async def test_stream_whose_backup_is_kept_goes_on_there(
    monkeypatch, detour: bool
) -> None:
    async with open_unframed(monkeypatch, 3, detour=detour) as stage:
        stage.early_ends.append(EarlyEnd(PASSED))
        assert await stream(stage, 'r1') == (whole('r1', EVENTS), True)
        assert count_runs(stage, 'r1') == 1
        assert count_resumed(stage, 'r1') == 1


# Guards against a stream that looks whole, and runs twice, since the reports of
# its engine did not list it.
async def test_stream_that_is_not_listed_is_stopped_and_goes_on(
    monkeypatch,
) -> None:
    async with open_unframed(monkeypatch, 2) as stage:
        for engine in stage.engines:
            engine.stream_faults.unlisted = True
        stage.early_ends.append(EarlyEnd(PASSED, runs_on=True))
        ended = await stream(stage, 'r1', events=MANY_EVENTS)
        assert ended == (whole('r1', MANY_EVENTS), True)
        assert count_runs(stage, 'r1') == 1
        assert [True] in [
            each.stops_by_request.get('r1') for each in stage.engines
        ]


# Guards against sound streams that are cut, run again or wait since the engine
# of their backup has none to go on from.
@DIRECTLY_OR_NOT
@pytest.mark.parametrize('backup', ['freed', 'lost', 'down', 'rests'])
async def test_stream_that_ends_well_is_whole_without_its_backup(
    monkeypatch, detour: bool, backup: str
) -> None:
    async with open_unframed(monkeypatch, 2, detour=detour) as stage:
        for engine in stage.engines:
            engine.stream_faults.ends_after = ENOUGH

        async def lose_backup() -> None:
            runner = await find_runner(stage, 'r1')
            await until(lambda: count_backups(stage, 'r1'))
            kept = next(each for each in stage.engines if each is not runner)
            match backup:
                case 'lost':
                    kept.memory.backed_up.clear()
                case 'down':
                    kept.crashes.down_seconds = 20
                    kept.crash('nobody')
                case 'rests':
                    kept.faults.rejections = 1
                    kept.faults.retry_after = '9'

        stage.nursery.start_soon(lose_backup)
        began = trio.current_time()
        assert await stream(stage, 'r1') == (whole('r1', ENOUGH), True)
        assert trio.current_time() - began < 5
        assert count_runs(stage, 'r1') == 1
        assert not count_resumed(stage, 'r1')
        assert backup != 'freed' or not count_kept(stage)


# Guards against a stream that ends as whole though the engine of its backup,
# which may go on with it, was asked and has not answered.
@DIRECTLY_OR_NOT
async def test_stream_whose_backup_does_not_answer_is_not_whole(
    monkeypatch, detour: bool
) -> None:
    async with open_unframed(monkeypatch, 2, detour=detour) as stage:
        for engine in stage.engines:
            engine.stream_faults.ends_after = ENOUGH

        async def hang_backup() -> None:
            runner = await find_runner(stage, 'r1')
            await until(lambda: count_backups(stage, 'r1'))
            kept = next(each for each in stage.engines if each is not runner)
            stage.fronts[stage.engines.index(kept)].hang(9)

        stage.nursery.start_soon(hang_backup)
        began = trio.current_time()
        assert await stream(stage, 'r1') == (whole('r1', ENOUGH), False)
        assert trio.current_time() - began < 5
        assert count_runs(stage, 'r1') == 1
        assert not count_resumed(stage, 'r1')


# Guards against a sound stream that is cut, or has events twice, since its
# backup is freed late.
async def test_backup_that_is_freed_late_adds_nothing(monkeypatch) -> None:
    async with open_unframed(monkeypatch, 2) as stage:
        for engine in stage.engines:
            engine.stream_faults.ends_after = ENOUGH
            engine.stream_faults.keeps_backups = True
        assert await stream(stage, 'r1') == (whole('r1', ENOUGH), True)
        assert count_runs(stage, 'r1') == 1
        assert count_resumed(stage, 'r1') == 1


# Guards against a question about a backup that a rate limit does not let pass,
# or that an upstream which may reject few requests rejects.
async def test_limited_engine_is_not_asked_for_a_backup(monkeypatch) -> None:
    async with open_unframed(monkeypatch, 2) as stage:
        for engine in stage.engines:
            engine.stream_faults.ends_after = ENOUGH
            engine.limit = '50'
        for number in range(4):
            name = f'r{number}'
            assert await stream(stage, name) == (whole(name, ENOUGH), True)
        heads = [head for each in stage.engines for head in each.heads]
        asked = [head for head in heads if 'Kv-From' in head]
        assert len(asked) <= 1
