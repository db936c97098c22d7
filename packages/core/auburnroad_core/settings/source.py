"""Parses JSON with comments and records the position of each value.

With the positions, a check that works on plain values can report the line of
an invalid value. Comments start with '//' or are enclosed in '/*' and '*/'; a
comma after the last member is allowed.
"""

import json
import pathlib

import lark
import msgspec

from auburnroad_core import errors

GRAMMAR = r"""
    ?value: object | array | string | number | literal
    object: "{" [member ("," member)* [","]] "}"
    member: string ":" value
    array: "[" [value ("," value)* [","]] "]"
    string: STRING
    number: NUMBER
    literal: LITERAL
    STRING: /"(\\.|[^"\\\n])*"/
    NUMBER: /-?(0|[1-9]\d*)(\.\d+)?([eE][+-]?\d+)?/
    LITERAL: "true" | "false" | "null"
    COMMENT: /\/\/[^\n]*/ | /\/\*(.|\n)*?\*\//
    WHITESPACE: /[ \t\r\n]+/
    %ignore WHITESPACE
    %ignore COMMENT
"""

Path = tuple[str | int, ...]


class Document(msgspec.Struct):
    """A parsed document.

    Attributes:
      filename: File name for error messages.
      value: Value as plain Python data.
      positions: Line and column of each value by its path.
    """

    filename: str
    value: object
    positions: dict[Path, tuple[int, int]]

    def locate(self, path: Path) -> errors.Source:
        """Find the position of a value.

        Args:
          path: Member names and indices from the root.

        Returns:
          The position of the value, or of the innermost enclosing value that
          exists.
        """
        while path and path not in self.positions:
            path = path[:-1]
        line, column = self.positions.get(path, (1, 1))
        return errors.Source(self.filename, line, column)


_PARSER = lark.Lark(
    GRAMMAR, start='value', parser='lalr', propagate_positions=True
)


class _Builder:
    """Converts a parse tree to plain values and their positions."""

    __slots__ = ('filename', 'positions', 'records')

    def __init__(self, filename: str):
        self.filename = filename
        self.positions: dict[Path, tuple[int, int]] = {}
        self.records: list[errors.ErrorRecord] = []

    def build(self, tree: lark.Tree, path: Path) -> object:
        """Build the value of one subtree."""
        if not tree.meta.empty:
            self.positions[path] = (tree.meta.line, tree.meta.column)
        return getattr(self, f'_build_{tree.data}')(tree, path)

    def _build_object(self, tree, path) -> dict:
        members = {}
        for member in tree.children:
            if member is None:
                continue
            name = json.loads(member.children[0].children[0])
            if name in members:
                self._report_repeated_field(member, name, path)
            members[name] = self.build(member.children[1], (*path, name))
        return members

    def _report_repeated_field(self, member, name, path) -> None:
        source = errors.Source(
            self.filename, member.meta.line, member.meta.column
        )
        self.records.append(
            errors.ErrorRecord(
                source,
                format_path((*path, name)),
                'the field stands twice',
                'remove one of the two',
            )
        )

    def _build_array(self, tree, path) -> list:
        children = [child for child in tree.children if child is not None]
        return [
            self.build(child, (*path, index))
            for index, child in enumerate(children)
        ]

    def _build_string(self, tree, path) -> str:
        return json.loads(tree.children[0], strict=False)

    def _build_number(self, tree, path) -> int | float:
        return json.loads(tree.children[0])

    def _build_literal(self, tree, path) -> bool | None:
        return json.loads(tree.children[0])


def format_path(path: Path) -> str:
    """Format a path for error messages.

    Args:
      path: Member names and indices from the root.

    Returns:
      Formatted path, such as 'trainers[0].name'.
    """
    text = ''
    for part in path:
        if isinstance(part, int):
            text += f'[{part}]'
        else:
            text += f'.{part}' if text else part
    return text


def parse_text(
    text: str, filename: str
) -> tuple[Document, list[errors.ErrorRecord]]:
    """Parse JSON with comments.

    Args:
      text: Text to parse.
      filename: File name for error messages.

    Returns:
      The document and the errors found; the document's value is None when the
      text can't be parsed.
    """
    try:
        tree = _PARSER.parse(text)
    except lark.exceptions.UnexpectedInput as error:
        line = max(error.line, 1)
        source = errors.Source(filename, line, max(error.column, 1))
        record = errors.ErrorRecord(
            source, '', 'not JSON with comments', _build_remedy(error, text)
        )
        return Document(filename, None, {}), [record]
    builder = _Builder(filename)
    value = builder.build(tree, ())
    return Document(filename, value, builder.positions), builder.records


def _build_remedy(error: lark.exceptions.UnexpectedInput, text: str) -> str:
    token = getattr(error, 'token', None)
    if token is not None and token.type == '$END':
        return 'the text ends too early'
    position = error.pos_in_stream
    if position is None or position < 0 or position >= len(text):
        return 'the text ends too early'
    return f'unexpected {text[position]!r}'


def read_file(
    path: str,
) -> tuple[Document, list[errors.ErrorRecord]]:
    """Read and parse a file of JSON with comments.

    Args:
      path: Path of the file.

    Returns:
      The document and the errors found; the document's value is None when the
      file can't be read or parsed.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        record = errors.ErrorRecord(
            errors.Source(path), '', f'the file cannot be read: {error}'
        )
        return Document(path, None, {}), [record]
    return parse_text(text, path)
