"""Leaving: no new work within seconds, nothing in progress cut."""

from pathlib import Path

import trio

from tests.callers import (
    Received,
    expected_tokens,
    make_body,
    stream,
    wait_tokens,
)
from tests.stage import Stage, open_stage

LONG = 'A long draft [length=2500]'
SHORT = 'A check [length=5]'


async def follow(stage: Stage, index: int, body: dict, got: Received) -> None:
    await stream(stage, index, body, received=got)


async def test_a_leaving_instance_finishes_its_streams(tmp_path: Path) -> None:
    async with open_stage(tmp_path, instances=2) as stage:
        await stage.settle(stage.declare())
        got = Received()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follow, stage, 0, make_body(LONG), got)
            await wait_tokens(got, 10)
            stage.runtimes[0].leave()
            refused = await stream(stage, 0, make_body(SHORT))
            assert refused.status == 503
            served = await stream(stage, 1, make_body(SHORT))
            assert served.done
        assert got.done
        assert got.tokens == expected_tokens(LONG, 2500)


async def test_idle_connections_do_not_hold_up_a_stop(
    tmp_path: Path,
) -> None:
    async with open_stage(tmp_path) as stage:
        await stage.settle(stage.declare())
        assert (await stream(stage, 0, make_body(SHORT))).done
        stage.runtimes[0].leave()
        with trio.fail_after(60):
            await stage.stopped[0].wait()


async def test_others_hear_of_a_leave_at_once(tmp_path: Path) -> None:
    async with open_stage(tmp_path, instances=3) as stage:
        await stage.settle(stage.declare())
        leaving = stage.runtimes[0].group.membership.name
        others = [runtime.group for runtime in stage.runtimes[1:]]
        for group in others:
            while leaving not in group.alive_names():
                await trio.sleep(0.02)
        stage.runtimes[0].leave()
        for group in others:
            while leaving in group.alive_names():
                await trio.sleep(0.02)


async def test_a_draining_engine_finishes_and_gets_nothing(
    tmp_path: Path,
) -> None:
    async with open_stage(tmp_path, engines=2) as stage:
        await stage.settle(stage.declare())
        got = Received()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follow, stage, 0, make_body(LONG), got)
            await wait_tokens(got, 10)
            busy = next(
                number
                for number, engine in enumerate(stage.engines)
                if engine.started_by_generation
            )
            await drain_engine(stage, f'engine-{busy}')
            before = len(stage.engines[busy].started_by_generation)
            for _ in range(6):
                assert (await stream(stage, 0, make_body(SHORT))).done
            after = len(stage.engines[busy].started_by_generation)
            assert after == before
        assert got.done
        assert got.tokens == expected_tokens(LONG, 2500)


async def test_a_lost_placer_is_replaced(tmp_path: Path) -> None:
    async with open_stage(tmp_path, instances=3) as stage:
        await stage.settle(stage.declare())
        groups = [runtime.group for runtime in stage.runtimes]
        for group in groups:
            while len(group.alive_names()) < 3:
                await trio.sleep(0.02)
        placer = next(
            number
            for number, group in enumerate(groups)
            if group.decides_for('engine-0')
        )
        stage.kill(placer)
        survivor = (placer + 1) % 3
        got = await stream(stage, survivor, make_body(SHORT))
        assert got.done
        assert got.tokens == expected_tokens(SHORT, 5)


async def drain_engine(stage: Stage, name: str) -> None:
    bodies = stage.declare()
    key = f'upstreams.{name}'
    bodies[key] = bodies[key].replace('"draining":false', '"draining":true')
    assert await stage.confirm(bodies) == 'confirmed'
    await stage.wait_revision(2)
