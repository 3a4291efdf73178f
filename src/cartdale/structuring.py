"""Structuring: plain values to frozen data classes, all faults at once."""

from collections.abc import Iterator
from enum import StrEnum
from typing import TypeVar

from cattrs import Converter
from cattrs.errors import (
    AttributeValidationNote,
    BaseValidationError,
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
    IterableValidationNote,
    StructureHandlerNotFoundError,
)

from cartdale.documents import Document
from cartdale.exceptions import BadInputError, InputFault
from cartdale.formatting import format_error

Shape = TypeVar('Shape')


def _refuse_coercion(given: object, kind: type) -> object:
    if issubclass(kind, StrEnum):
        return _choose_member(given, kind)
    accepted = (int, float) if kind is float else (kind,)
    mistaken_bool = isinstance(given, bool) and kind is not bool
    if isinstance(given, accepted) and not mistaken_bool:
        return given
    raise _KindMismatchError(kind, given)


def _choose_member(given: object, kind: type[StrEnum]) -> StrEnum:
    for member in kind:
        if member.value == given:
            return member
    raise _NotMemberError(kind, given)


class _NotMemberError(ValueError):
    """Report a word that is not one of the choices."""

    def __init__(self, kind: type[StrEnum], given: object) -> None:
        choices = ', '.join(kind)
        super().__init__(f'one of {choices}; not {given!r}')


class _KindMismatchError(ValueError):
    """Report a scalar of the wrong kind."""

    def __init__(self, kind: type, given: object) -> None:
        super().__init__(f'{kind.__name__}, not {given!r}')


def _make_converter() -> Converter:
    converter = Converter(forbid_extra_keys=True, detailed_validation=True)
    for kind in (str, int, float, bool):
        converter.register_structure_hook(kind, _refuse_coercion)
    return converter


_CONVERTER = _make_converter()


def structure_document(document: Document, shape: type[Shape]) -> Shape:
    """Turn a parsed document into a data class.

    :param document: the parsed file.
    :param shape: a frozen data class.
    :raises BadInputError: with every unknown, missing or mistyped field.
    """
    try:
        return _CONVERTER.structure(document.root, shape)
    except BaseValidationError as error:
        faults = tuple(_collect(error, '', document))
    except (TypeError, ValueError) as plain_error:
        faults = (InputFault(document.locate(''), str(plain_error)),)
    raise BadInputError(tuple(sorted(faults, key=_by_line)))


def _by_line(fault: InputFault) -> int:
    return fault.location.line


def _collect(
    error: BaseException, at: str, document: Document
) -> Iterator[InputFault]:
    match error:
        case ClassValidationError() | IterableValidationError():
            for inner, name in _unfold(error):
                yield from _collect(inner, _join(at, name), document)
        case ForbiddenExtraKeysError(extra_fields=extra_fields):
            for name in sorted(extra_fields):
                yield InputFault(
                    document.locate(_join(at, name)), 'no such field'
                )
        case KeyError():
            yield InputFault(document.locate(at), 'a required field')
        case StructureHandlerNotFoundError() | ValueError() | TypeError():
            yield InputFault(document.locate(at), f'expected {error}')
        case _:
            yield InputFault(document.locate(at), format_error(error))


def _unfold(
    error: ClassValidationError | IterableValidationError,
) -> Iterator[tuple[BaseException, str]]:
    noted, others = error.group_exceptions()
    for inner, note in noted:
        match note:
            case AttributeValidationNote(name=name):
                yield inner, name
            case IterableValidationNote(index=index):
                yield inner, str(index)
    for other in others:
        yield other, ''


def _join(at: str, name: str) -> str:
    return '.'.join(part for part in (at, name) if part)
