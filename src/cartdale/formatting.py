"""Format what happened for log lines: plain values, never an object's text."""

from dataclasses import fields
from enum import Enum
from typing import Any

Plain = str | int | float | bool


def format_error(error: BaseException) -> str:
    """Return an error's type and what it says."""
    name = type(error).__name__
    text = str(error)
    return f'{name}: {text}' if text else name


def format_log_fields(label: str, message: Any) -> dict[str, Plain]:
    """Return a message for a log line: its type's name, and what it holds.

    Of an upstream only the id is told; what is not plain, or not part of the
    message's own text, is left out.

    :param label: names the type among the fields of the line.
    :param message: a data class.
    """
    told: dict[str, Plain] = {label: type(message).__name__}
    for field in fields(message):
        if not field.repr:
            continue
        plain = _make_plain(getattr(message, field.name))
        if plain is not None:
            told[field.name] = plain
    return told


def _make_plain(value: Any) -> Plain | None:
    match value:
        case Enum():
            return _make_plain(value.value)
        case str() | int() | float():
            return value
        case _:
            return getattr(value, 'upstream', None)
