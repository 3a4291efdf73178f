"""Load declarations from a directory of JSON-with-comments files."""

from dataclasses import dataclass
from pathlib import Path

from cartdale.declarations.check import SourceMap, check_references
from cartdale.declarations.types import KINDS, Declarations
from cartdale.documents import Document, parse_document
from cartdale.exceptions import BadInputError, InputFault, SourceLocation
from cartdale.structuring import structure_document

_SUFFIXES = frozenset(('.json', '.jsonc'))


@dataclass(frozen=True, slots=True)
class SourceFile:
    """Hold one file of an intent.

    :param path: file name for messages.
    :param text: its content.
    """

    path: str
    text: str


def read_directory(directory: Path) -> tuple[SourceFile, ...]:
    """Read every declaration file below a directory, in name order.

    :raises BadInputError: when there is none or one cannot be read.
    """
    paths = sorted(
        path for path in directory.rglob('*') if path.suffix in _SUFFIXES
    )
    if not paths:
        location = SourceLocation(str(directory), 0, '(directory)')
        raise BadInputError(
            (InputFault(location, 'at least one .json or .jsonc file'),),
        )
    return tuple(SourceFile(str(path), _read(path)) for path in paths)


def _read(path: Path) -> str:
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        location = SourceLocation(str(path), 0, '(file)')
        raise BadInputError((InputFault(location, str(error)),)) from error


def load_declarations(sources: tuple[SourceFile, ...]) -> Declarations:
    """Parse, merge and check the files of an intent.

    :raises BadInputError: with all faults of all files.
    """
    faults: list[InputFault] = []
    merged = Declarations()
    source_map = SourceMap()
    for source in sources:
        try:
            document = parse_document(source.text, source.path)
            part = structure_document(document, Declarations)
        except BadInputError as error:
            faults.extend(error.faults)
            continue
        faults.extend(_merge(merged, part, document, source_map))
    if not faults:
        faults.extend(check_references(merged, source_map))
    if faults:
        raise BadInputError(tuple(faults))
    return merged


def _merge(
    merged: Declarations,
    part: Declarations,
    document: Document,
    source_map: SourceMap,
) -> list[InputFault]:
    faults: list[InputFault] = []
    for kind in KINDS:
        for name, declared in getattr(part, kind).items():
            key = f'{kind}.{name}'
            earlier = source_map.documents_by_key.get(key)
            if earlier is not None:
                where = earlier.locate(key)
                faults.append(
                    InputFault(
                        document.locate(key),
                        f'a name not used twice; also at {where}',
                    ),
                )
                continue
            source_map.documents_by_key[key] = document
            getattr(merged, kind)[name] = declared
    return faults
