"""Logs: a full pipe never blocks, and the loss is told."""

import os
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

import msgspec

from cartdale.command.timeline import parse_lines
from cartdale.logs import PipeSink

#: Logs more than a pipe holds, says so, and waits for a reader.
FILL_PIPE = r"""
import sys
from loguru import logger
from cartdale.logs import configure_json_logs
logs = configure_json_logs('front-1')
for number in range(2000):
    logger.info('x', number=number)
sys.stderr.write('full\n')
logs.close(10000)
"""


def test_full_pipe_drops_lines_and_says_so() -> None:
    reader, writer = os.pipe()
    sink = PipeSink(writer)
    line = b'{"event":"x"}%s\n' % (b' ' * 1000)
    for _ in range(1000):
        sink.write(line)
    assert sink.dropped
    raw = b''
    os.set_blocking(reader, False)
    while True:
        try:
            part = os.read(reader, 65536)
        except BlockingIOError:
            if not sink.dropped:
                break
            sink.write(line)
            continue
        raw += part
    events = [msgspec.json.decode(each) for each in raw.splitlines()]
    told = sum(each.get('count', 0) for each in events)
    written = sum(each['event'] == 'x' for each in events)
    assert told > 0
    assert written + told >= 1000
    os.close(reader)
    os.close(writer)


def test_lines_dropped_at_the_end_are_told() -> None:
    # Guards against a process whose last lines are missing without a word.
    reader, writer = os.pipe()
    sink = PipeSink(writer)
    line = b'{"event":"x"}%s\n' % (b' ' * 1000)
    while not sink.dropped:
        sink.write(line)
    with ThreadPoolExecutor() as threads:
        closing = threads.submit(sink.close, 5000)
        raw = b''
        # The last line may be read before the thread is seen to have ended.
        os.set_blocking(reader, False)
        while not closing.done():
            with suppress(BlockingIOError):
                raw += os.read(reader, 65536)
    os.set_blocking(reader, True)
    os.close(writer)
    with os.fdopen(reader, 'rb') as rest:
        raw += rest.read()
    events = [msgspec.json.decode(each) for each in raw.splitlines()]
    told = events[-1]
    assert (told['event'], told['count']) == ('lines dropped', 1)


def test_a_loss_is_told_by_a_line_like_all_others() -> None:
    # Guards against a loss that no filter by level, time or instance shows.
    began = time.time()
    with subprocess.Popen(
        [sys.executable, '-c', FILL_PIPE],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    ) as process:
        assert process.stderr is not None
        assert process.stdout is not None
        assert process.stderr.readline() == b'full\n'
        raw = process.stdout.read()
    lines = [msgspec.json.decode(each) for each in raw.splitlines()]
    usual, told = lines[0], lines[-1]
    assert told['event'] == 'lines dropped'
    assert told['count'] == 2000 - (len(lines) - 1)
    assert told.keys() - {'count'} == usual.keys() - {'number'}
    assert (told['level'], told['node']) == ('WARNING', 'front-1')
    assert began <= told['at'] <= time.time()
    assert told['time'][-6:] == usual['time'][-6:]
    read = parse_lines([raw.decode()])[-1]
    assert (read.event, read.node) == ('lines dropped', 'front-1')


def test_a_pipe_that_nobody_reads_does_not_hold_up_the_end() -> None:
    # Guards against a process that never ends as its logs are not read.
    reader, writer = os.pipe()
    sink = PipeSink(writer)
    while not sink.dropped:
        sink.write(b'x' * 1000)
    began = time.monotonic()
    sink.close(50)
    assert time.monotonic() - began < 1
    os.close(reader)
    os.close(writer)
