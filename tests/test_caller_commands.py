"""The caller's commands against a real instance."""

from pathlib import Path

import trio
from cleo.testers.application_tester import ApplicationTester

from cartdale.command.main import make_application
from cartdale_standins.engine import EngineFaults
from tests.stage import CALLER_KEY, OPERATOR_KEY, Stage, open_stage


def run_command(line: str) -> tuple[int, str]:
    tester = ApplicationTester(make_application())
    code = tester.execute(line)
    return code, tester.io.fetch_output() + tester.io.fetch_error()


async def call(stage: Stage, command: str, arguments: str) -> tuple[int, str]:
    key = stage.base / 'caller.key'
    key.write_text(CALLER_KEY)
    addresses = ','.join(
        stage.url(index, '') for index in range(len(stage.runtimes))
    )
    line = f'{command} {arguments} -i {addresses} -k {key}'
    return await trio.to_thread.run_sync(run_command, line)


async def test_generate_prints_the_whole_answer(tmp_path: Path) -> None:
    async with open_stage(tmp_path) as stage:
        await stage.settle(stage.declare())
        code, output = await call(stage, 'generate', "writers 'x [length=9]'")
        assert code == 0
        assert len(output.split()) == 9


async def test_generate_continues_where_it_was_cut(tmp_path: Path) -> None:
    async with open_stage(tmp_path, instances=2) as stage:
        await stage.settle(stage.declare())
        found: list[tuple[int, str]] = []

        async def generate() -> None:
            arguments = "writers 'x [length=600]'"
            found.append(await call(stage, 'generate', arguments))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(generate)
            engine = stage.engines[0]
            while not engine.started_by_generation:
                await trio.sleep(0.01)
            await trio.sleep(0.3)
            stage.kill(0)
        code, output = found[0]
        assert code == 0
        assert len(output.split()) == 600
        assert list(engine.started_by_generation.values()) == [1]


async def test_a_refusal_has_its_exit_code(tmp_path: Path) -> None:
    async with open_stage(tmp_path) as stage:
        await stage.settle(stage.declare(service={'deadline_ms': 500}))
        stage.engines[0].faults = EngineFaults(refuse=True)
        code, output = await call(stage, 'generate', 'writers x')
        assert code == 8
        assert 'Not run' in output


async def test_call_reaches_a_plain_service(tmp_path: Path) -> None:
    async with open_stage(tmp_path) as stage:
        await stage.settle(stage.declare())
        code, output = await call(stage, 'call', 'portal cards/7')
        assert code == 0
        assert '"path":"cards/7"' in output
        code, output = await call(stage, 'call', 'nothing x')
        assert code == 8
        assert OPERATOR_KEY not in output
