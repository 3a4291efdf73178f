"""Documents: JSON with comments, with the line of every field.

The grammar is tree-sitter's JSON grammar, which accepts comments; scalar
values are decoded by msgspec.
"""

from dataclasses import dataclass, field
from typing import Any

import tree_sitter_json
from tree_sitter import Language, Node, Parser

from cartdale.codec import decode_json
from cartdale.exceptions import (
    BadInputError,
    InputFault,
    SourceLocation,
    UndecodableError,
)

_LANGUAGE = Language(tree_sitter_json.language())

Plain = object


@dataclass(frozen=True, slots=True)
class Document:
    """Hold a parsed document.

    :param path: file name for messages.
    :param root: plain mappings, lists and scalars.
    :param lines_by_field: line from 1 of every dotted field path.
    """

    path: str
    root: Plain
    lines_by_field: dict[str, int] = field(default_factory=dict)

    def locate(self, field_path: str) -> SourceLocation:
        """Find a field, or the nearest enclosing one that exists."""
        probe = field_path
        while probe and probe not in self.lines_by_field:
            probe = probe.rpartition('.')[0]
        line = self.lines_by_field.get(probe, 1)
        return SourceLocation(self.path, line, field_path or '(document)')


@dataclass(frozen=True, slots=True)
class PartialObject:
    """Hold what can be read of an object.

    :param texts_by_name: JSON text of each member without a fault.
    :param whole: whether there are no faults of syntax elsewhere either.
    """

    texts_by_name: dict[str, bytes]
    whole: bool


class _Reader:
    """Walk the syntax tree of one document and collect faults."""

    def __init__(self, path: str) -> None:
        self._path = path
        self.lines_by_field: dict[str, int] = {}
        self.faults: list[InputFault] = []

    def read(self, node: Node, at: str) -> Plain:
        self.lines_by_field.setdefault(at, node.start_point.row + 1)
        if node.type == 'object':
            return self._read_object(node, at)
        if node.type == 'array':
            return self._read_array(node, at)
        return self._read_scalar(node, at)

    def find_errors(self, node: Node) -> None:
        if node.is_error or node.is_missing:
            self._fault(node, '(syntax)', _describe_syntax(node))
            return
        for child in node.children:
            if child.has_error or child.is_missing:
                self.find_errors(child)

    def _read_object(self, node: Node, at: str) -> dict[str, Plain]:
        members: dict[str, Plain] = {}
        for pair in node.named_children:
            if pair.type != 'pair':
                continue
            key_node = pair.child_by_field_name('key')
            value_node = pair.child_by_field_name('value')
            if key_node is None or value_node is None:
                continue
            key = str(self._read_scalar(key_node, at))
            inner = f'{at}.{key}' if at else key
            if key in members:
                self._fault(key_node, inner, 'a name that is not used twice')
                continue
            self.lines_by_field[inner] = key_node.start_point.row + 1
            members[key] = self.read(value_node, inner)
        return members

    def _read_array(self, node: Node, at: str) -> list[Plain]:
        members: list[Plain] = []
        for child in node.named_children:
            if child.type == 'comment':
                continue
            members.append(self.read(child, f'{at}.{len(members)}'))
        return members

    def _read_scalar(self, node: Node, at: str) -> Plain:
        try:
            decoded: Plain = decode_json(node.text or b'', Any)
        except UndecodableError as error:
            self._fault(node, at, f'a JSON value ({error})')
            return None
        return decoded

    def _fault(self, node: Node, at: str, expected: str) -> None:
        location = SourceLocation(self._path, node.start_point.row + 1, at)
        self.faults.append(InputFault(location, expected))


def _describe_syntax(node: Node) -> str:
    if node.is_missing:
        return f'a {node.type} before this point'
    text = (node.text or b'').decode(errors='replace').split('\n')[0]
    return f'JSON with comments; cannot read {text!r}'


def parse_document(text: str, path: str) -> Document:
    """Parse JSON with comments.

    :param text: the whole file.
    :param path: file name for messages.
    :raises BadInputError: naming file, line and field of every fault.
    """
    reader = _Reader(path)
    try:
        return _read_document(text, path, reader)
    except (RecursionError, UnicodeError) as error:
        location = SourceLocation(path, 1, '(document)')
        fault = InputFault(location, f'JSON that can be read ({error})')
        raise BadInputError((*reader.faults, fault)) from error


def read_members(raw: bytes) -> PartialObject:
    """Read the members of an object that no decoder reads as a whole.

    The syntax tree has no limit of nesting, and goes on behind a fault. Takes
    about two milliseconds a kilobyte at worst.

    :param raw: JSON of any kind; what is no object has no members.
    """
    document = Parser(_LANGUAGE).parse(raw).root_node
    texts_by_name: dict[str, bytes] = {}
    for root in document.named_children:
        if root.type != 'object' or document.type != 'document':
            continue
        for pair in root.named_children:
            if pair.type == 'pair' and not pair.has_error:
                texts_by_name.update(_read_pair(pair))
    return PartialObject(texts_by_name, whole=not document.has_error)


def _read_pair(pair: Node) -> dict[str, bytes]:
    key, member = (
        pair.child_by_field_name('key'),
        pair.child_by_field_name('value'),
    )
    if key is None or member is None:
        return {}
    try:
        name = decode_json(key.text or b'', str)
    except UndecodableError:
        return {}
    return {name: member.text or b''}


def _read_document(text: str, path: str, reader: _Reader) -> Document:
    tree = Parser(_LANGUAGE).parse(text.encode())
    reader.find_errors(tree.root_node)
    roots = [
        node
        for node in tree.root_node.named_children
        if node.type not in {'comment', 'ERROR'}
    ]
    if len(roots) != 1 and not reader.faults:
        location = SourceLocation(path, 1, '(document)')
        reader.faults.append(InputFault(location, 'one JSON value'))
    root: Plain = None
    if roots and not reader.faults:
        root = reader.read(roots[0], '')
    if reader.faults:
        raise BadInputError(tuple(reader.faults))
    return Document(path, root, reader.lines_by_field)
