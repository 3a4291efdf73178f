"""Logs: structured lines, as text for people or JSON for programs."""

import json
import os
import select
import sys
import time
from datetime import datetime
from typing import Any

import msgspec
from loguru import logger

from cartdale.clock import SECOND_MS, Millis, as_seconds
from cartdale.settings.types import LogForm, Logging

_TEXT_FORM = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <8} {name} {message} {extra}'
)


def configure_logs(logging: Logging, instance: str) -> None:
    """Send all logs to standard error.

    :param instance: name of this instance, put on every line.
    """
    logger.remove()
    serialize = logging.form is LogForm.JSON
    logger.configure(extra={'instance': instance})
    logger.add(
        sys.stderr,
        level=logging.level,
        format=_TEXT_FORM,
        serialize=serialize,
        backtrace=False,
        diagnose=False,
    )


_STANDARD_OUTPUT = 1
_STANDARD_DESCRIPTORS = (0, _STANDARD_OUTPUT, 2)
#: Of a value that can't be encoded, in characters.
_MAX_TOLD = 200


class PipeSink:
    """Write lines to a pipe without ever waiting for its reader.

    Lines that don't fit, or can't be written, are counted, and the count is
    told once lines can be written again. Nothing is raised: who logs an error
    could not log that one.

    :param descriptor: where to write; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._rest = b''
        self._failed = False
        #: Name of this instance, for the lines that tell of lost ones.
        self.node = ''
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, or count it as dropped."""
        if not self._flush(self._rest):
            self.dropped += 1
            return
        if self.dropped:
            line = _format_dropped(self.dropped, self.node) + line
            self.dropped = 0
        self._flush(line)

    def write_record(self, record: Any) -> None:
        """Write a record of loguru as a JSON line."""
        self.node = record['extra'].get('node', '')
        self.write(_format_line(record))

    def close(self, timeout: Millis) -> None:
        """Write what still waits, and how many lines were dropped.

        :param timeout: how long to wait for a reader of a full pipe.
        """
        poller = select.poll()
        poller.register(self._descriptor, select.POLLOUT)
        ends_at = time.monotonic() + as_seconds(timeout)
        while not self._write_last():
            left = int((ends_at - time.monotonic()) * SECOND_MS)
            if self._failed or left <= 0 or not poller.poll(left):
                return

    def _write_last(self) -> bool:
        """Write the rest and the count; tell whether both are written."""
        if not self._flush(self._rest):
            return False
        if not self.dropped:
            return True
        line = _format_dropped(self.dropped, self.node)
        self.dropped = 0
        return self._flush(line)

    def _flush(self, raw: bytes) -> bool:
        """Write as much as fits; tell whether that was all."""
        written = 0
        try:
            written = os.write(self._descriptor, raw) if raw else 0
        except BlockingIOError:
            self._failed = False
        except OSError:
            self._failed = True
        self._rest = raw[written:]
        return not self._rest


def configure_json_logs(instance: str) -> PipeSink:
    """Send all logs as JSON lines to standard output, without blocking.

    :param instance: name of this instance, put on every line.
    :return: the sink, to be closed as the process ends.
    """
    open_standard_descriptors()
    sink = PipeSink(_STANDARD_OUTPUT)

    logger.remove()
    name_logs(instance)
    logger.add(
        lambda message: sink.write_record(message.record),
        level='INFO',
        format='{message}',
        catch=False,
    )
    return sink


def open_standard_descriptors() -> None:
    """Open the null device as each standard descriptor that is closed.

    A socket would get its number otherwise, and be sent log lines.
    """
    for descriptor in _STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)


def name_logs(instance: str) -> None:
    """Put the name of this instance on every JSON line from now on."""
    logger.configure(extra={'node': instance})


def _format_dropped(count: int, node: str) -> bytes:
    now = datetime.now().astimezone()
    line = {
        **_describe_moment(now),
        'level': 'WARNING',
        'event': 'lines dropped',
        'node': node,
        'count': count,
    }
    return b'%s\n' % _encode_line(line)


def _format_line(record: Any) -> bytes:
    line = {
        **_describe_moment(record['time']),
        'level': record['level'].name,
        'event': record['message'],
        **record['extra'],
    }
    return b'%s\n' % _encode_line(line)


def _describe_moment(moment: datetime) -> dict[str, Any]:
    return {
        'at': moment.timestamp(),
        'time': moment.isoformat(timespec='milliseconds'),
    }


def _encode_line(line: dict[str, Any]) -> bytes:
    try:
        return msgspec.json.encode(line, enc_hook=_name_type)
    except Exception as error:
        told = {name: _tell(line[name]) for name in line}
        told['unwritable'] = type(error).__name__
        told['event'] = line['event']
    return json.dumps(told, separators=(',', ':')).encode()


def _tell(value: object) -> str:
    """Return a value in letters that every reader of lines takes."""
    try:
        return ascii(value)[:_MAX_TOLD]
    except Exception:
        return _name_type(value)


def _name_type(value: object) -> str:
    """Stand for a value that is not plain, so that no line is lost."""
    return type(value).__name__
