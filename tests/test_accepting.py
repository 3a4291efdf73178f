"""Connections are read when there is time, and closed unread otherwise.

An instance that reads all that it accepts answers too late under load.
"""

import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from cartdale.clock import SystemClock
from cartdale.daemon.accepting import MAX_BURST, MAX_UNREAD, ConnectionQueue
from cartdale.daemon.spare_time import wait_for_spare_time

LOCAL = '127.0.0.1'
#: A step of a task that keeps the loop busy, in seconds.
_STEP = 0.005


class Stage:
    """Queue behind a listener, and what it passed on."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.queue = ConnectionQueue(SystemClock())
        self.served: list[bytes] = []
        self.listener = socket.socket()
        self.listener.bind((LOCAL, 0))
        self.listener.listen(64)
        self.listener.setblocking(False)
        nursery.start_soon(self.queue.accept, self.listener)
        nursery.start_soon(self.queue.serve, self.serve, nursery)

    async def serve(self, stream: trio.SocketStream) -> None:
        async with stream:
            self.served.append(await stream.receive_some())
            await stream.send_all(b'served')

    async def ask(self, text: bytes, ends: list[str]) -> None:
        address = self.listener.getsockname()
        stream = await trio.open_tcp_stream(*address)
        async with stream:
            await stream.send_all(text)
            try:
                ends.append((await stream.receive_some()).decode())
            except trio.BrokenResourceError:
                ends.append('reset')

    async def keep_busy(self) -> None:
        while True:
            time.sleep(_STEP)
            await trio.lowlevel.checkpoint()


@asynccontextmanager
async def open_stage() -> AsyncIterator[Stage]:
    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            stage = Stage(nursery)
            yield stage
            nursery.cancel_scope.cancel()
        stage.listener.close()


async def test_all_are_read_while_there_is_time() -> None:
    ends: list[str] = []
    async with open_stage() as stage, trio.open_nursery() as callers:
        for number in range(50):
            callers.start_soon(stage.ask, str(number).encode(), ends)
    assert ends == ['served'] * 50
    assert not stage.queue.closed


async def test_a_busy_loop_closes_unread_and_still_reads_some() -> None:
    ends: list[str] = []
    async with open_stage() as stage:
        stage.nursery.start_soon(stage.keep_busy)
        began = trio.current_time()
        async with trio.open_nursery() as callers:
            for number in range(20):
                callers.start_soon(stage.ask, str(number).encode(), ends)
        took = trio.current_time() - began
        assert ends.count('reset') == stage.queue.closed
        assert ends.count('served') == len(stage.served)
        assert stage.queue.closed >= 20 - MAX_BURST // MAX_UNREAD - 1
        assert stage.served
        assert took < (MAX_BURST + MAX_UNREAD) / 1000
        # All may be as busy: one that goes on asking is read in the end.
        ends.clear()
        while 'served' not in ends:
            await stage.ask(b'again', ends)
        assert len(ends) <= 3


async def test_what_waits_is_closed_at_the_end() -> None:
    ends: list[str] = []
    async with open_stage() as stage:
        stage.nursery.start_soon(stage.keep_busy)
        async with trio.open_nursery() as callers:
            callers.start_soon(stage.ask, b'first', ends)
            await trio.sleep(MAX_UNREAD / 1000)
            callers.start_soon(stage.ask, b'waiting', ends)
            await trio.sleep(3 * _STEP)
            stage.queue.close_waiting()
    assert 'reset' in ends


async def test_there_is_no_spare_time_while_a_task_has_work() -> None:
    steps: list[int] = []

    async def work() -> None:
        for step in range(100):
            steps.append(step)
            await trio.lowlevel.checkpoint()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(work)
        await trio.lowlevel.checkpoint()
        await wait_for_spare_time()
        assert len(steps) == 100


async def test_tasks_that_wait_for_spare_time_do_not_hold_each_other_up() -> (
    None
):
    with trio.fail_after(1):
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(wait_for_spare_time)
