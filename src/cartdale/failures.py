"""Failures: describe unexpected errors in one log line each."""

import errno
import traceback
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from loguru import logger

from cartdale.exceptions import CartdaleError

_MAX_DETAIL = 200
#: Frames of this package name the code that failed; those of libraries say
#: little about the input.
_PACKAGE: Final = 'cartdale'
#: Descriptors, memory or outgoing ports are used up, of the process or the
#: machine.
EXHAUSTED_ERRORS: Final = frozenset(
    (
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)


@dataclass(frozen=True, slots=True)
class FailureDescription:
    """Describe one error for a log line.

    :param error: name of its type.
    :param detail: its message, shortened.
    :param at: module, line and function of this package that raised it, or
        called the library that did; empty if there is none.
    :param notes: what the callers that it passed through noted of their input.
    """

    error: str
    detail: str
    at: str
    notes: str


def describe_failures(error: BaseException) -> tuple[FailureDescription, ...]:
    """Describe an error, or each of those in a group."""
    return tuple(_describe(each) for each in _list_errors(error))


def log_failure(event: str, error: BaseException, **fields: object) -> None:
    """Log a line for an error, or for each of those in a group.

    :param event: what failed.
    :param fields: additional fields of each line.
    """
    for failure in describe_failures(error):
        logger.error(
            event,
            **fields,
            error=failure.error,
            detail=failure.detail,
            at=failure.at,
            notes=failure.notes,
        )


def is_exhaustion(error: BaseException) -> bool:
    """Tell whether an error, or what caused it, is for want of resources.

    Libraries wrap the system's errors, in groups if they tried several times,
    and pools drop the cause.
    """
    cause: BaseException | None = error
    while cause is not None:
        for member in _list_errors(cause):
            if isinstance(member, OSError) and member.errno in EXHAUSTED_ERRORS:
                return True
        cause = cause.__cause__ or cause.__context__
    return False


def _list_errors(error: BaseException) -> Iterator[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for member in error.exceptions:
        yield from _list_errors(member)


def _describe(error: BaseException) -> FailureDescription:
    notes: list[str] = getattr(error, '__notes__', [])
    return FailureDescription(
        error=type(error).__name__,
        detail=_format_detail(error)[:_MAX_DETAIL],
        at=_find_origin(error),
        notes='; '.join(notes)[:_MAX_DETAIL],
    )


def _format_detail(error: BaseException) -> str:
    if isinstance(error, CartdaleError):
        return error.format_message()
    return str(error)


def _find_origin(error: BaseException) -> str:
    """Return the innermost frame of this package in an error's traceback."""
    origin = ''
    for frame, line in traceback.walk_tb(error.__traceback__):
        module = str(frame.f_globals.get('__name__', ''))
        if module.partition('.')[0] == _PACKAGE:
            origin = f'{module}:{line} {frame.f_code.co_name}'
    return origin
