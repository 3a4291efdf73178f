"""Set up a small deployment, and write down what happened."""

import asyncio
import os
import sys
import tempfile
import time
import traceback
from pathlib import Path

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Unplayable(Exception):
    """Raised where a case can't run."""


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, folder):
        self._path = Path(folder) / 'record.txt'
        self._began = time.monotonic()
        self.lines = []

    def note(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.lines.append((at - self._began, text))

    def write(self, *summary):
        with self._path.open('w') as out:
            for line in summary:
                out.write(f'{line}\n')
            for at, text in sorted(self.lines, key=lambda each: each[0]):
                out.write(f'{at:9.3f} s  {text}\n')


def play(folder, case):
    """Run a case, and exit with its result."""
    sys.stdout.reconfigure(line_buffering=True)
    record = Record(folder)
    with tempfile.TemporaryDirectory(prefix='cartdale-review-') as place:
        try:
            result = asyncio.run(_bounded(case, record, place))
        except Unplayable as error:
            record.write(f'the case could not run: {error}')
            print(f'the case could not run: {error}')
            result = NOT_RUN
        except Exception:
            record.write('the case could not run', traceback.format_exc())
            traceback.print_exc()
            result = NOT_RUN
    sys.stdout.flush()
    os._exit(result)


async def _bounded(case, record, place):
    try:
        async with asyncio.timeout(110):
            return await case(record, place)
    except TimeoutError as error:
        raise Unplayable('it took longer than 110 s') from error
