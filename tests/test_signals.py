"""Signals are obeyed at any time, whatever fails of what they ask for."""

import signal
from pathlib import Path

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from cartdale.daemon import gateway
from cartdale.daemon.gateway import GatewayRuntime
from tests.platform_stage import ask, open_platform, until
from tests.processes import ProcessInstance, open_instances
from tests.test_log_fields import recorded

_TERMINATE_BIT = 1 << (signal.SIGTERM - 1)


def has_begun(instance: ProcessInstance) -> bool:
    """Tell whether the program's first lines have run: it blocks SIGTERM."""
    status = Path(f'/proc/{instance.process.pid}/status').read_text()
    fields = dict(line.split(':', 1) for line in status.splitlines())
    return bool(int(fields['SigBlk'], 16) & _TERMINATE_BIT)


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
async def test_a_stop_that_is_asked_for_during_the_start_is_in_order(
    tmp_path: Path, number: signal.Signals
) -> None:
    # Guards against a process that ends abnormally, or a stop that is lost,
    # because the signal came while the program was still being loaded.
    async with open_platform(plains=1, instances=0) as stage:
        with open_instances(stage, tmp_path, 'one') as started:
            instance = started[0]
            instance.start()
            await until(lambda: has_begun(instance))
            instance.process.send_signal(number)
            await until(lambda: instance.ended)
            assert instance.process.returncode == 0
            assert instance.read_lines('left')
            assert instance.read_lines('stopped')


async def test_signals_before_the_first_read_of_the_store_end_nothing(
    tmp_path: Path,
) -> None:
    # Guards against an instance that ends abnormally, or goes on for ever,
    # since it was told to stop while the store did not answer yet.
    async with open_platform(plains=1, instances=0) as stage:
        with open_instances(stage, tmp_path, 'one') as started:
            instance = started[0]
            instance.store_port = instance.ports[0]
            instance.start()
            await until(lambda: instance.read_lines('started'))
            instance.process.send_signal(signal.SIGHUP)
            await until(lambda: instance.read_lines('serving'))
            instance.process.send_signal(signal.SIGTERM)
            await until(lambda: instance.ended)
            assert instance.process.returncode == 0
            assert instance.read_lines('stopped')


async def test_a_stop_comes_to_its_end_whatever_fails_of_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against an instance that is told to stop and goes on for ever.
    def fail(*_: object) -> None:
        raise RuntimeError('a fault of a test')

    async with open_platform(may_fail=('leaving',)) as stage:
        runtime = stage.runtimes[0]
        monkeypatch.setattr(runtime.peers, 'hand_over', fail)
        monkeypatch.setattr(runtime.peers, 'withdraw', fail)
        assert (await ask(stage, 'r0')).is_success
        with recorded() as lines:
            runtime.leave()
            runtime.leave()
            assert (await ask(stage, 'r1')).is_success
            await stage.stopped[0].wait()
    events = [line['event'] for line in lines]
    assert events.count('leaving') == 1
    assert 'left' in events
    assert 'task failed' in events


async def test_settings_that_fail_to_be_read_change_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a running instance that an odd settings file ends.
    def fail(_: object) -> None:
        raise OverflowError('a fault of a test')

    async with open_platform(may_fail=('settings',)) as stage:
        runtime = stage.runtimes[0]
        before = runtime.bounds
        monkeypatch.setattr(gateway, 'load_platform_settings', fail)
        with recorded() as lines:
            runtime.reload()
        assert runtime.bounds == before
        assert (await ask(stage, 'r1')).is_success
    assert [line['error'] for line in lines if 'error' in line] == [
        'OverflowError'
    ]


async def test_an_instance_without_a_listener_for_callers_is_not_ready(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against an instance that the balancer sends callers to though it
    # serves none of them.
    async with open_platform(may_fail=('caller listener',)) as stage:
        runtime = stage.add_instance()
        broken = trio.Event()

        async def serve(*_: object) -> None:
            await broken.wait()
            raise OSError('a fault of a test')

        monkeypatch.setattr(runtime._callers, 'serve', serve)
        await stage.settle()
        assert await is_ready(runtime, stage.client)
        broken.set()
        await wait_all_tasks_blocked()
        assert not await is_ready(runtime, stage.client)
        assert (await ask(stage, 'r1')).is_success


async def is_ready(runtime: GatewayRuntime, client) -> bool:
    url = f'http://127.0.0.1:{runtime.ready_port}/cartdale/ready'
    return (await client.get(url)).is_success
