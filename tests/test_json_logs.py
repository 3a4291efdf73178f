"""Logs: a full pipe never blocks, and the loss is told."""

import os

import msgspec

from cartdale.logs import PipeSink


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
