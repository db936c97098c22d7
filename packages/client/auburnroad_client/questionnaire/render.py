"""Renders typed values as JSON with comments for people.

The first occurrence of a field has its question as a comment. Later
occurrences are omitted if they have the default value.
"""

import json
import textwrap
import typing

import msgspec

from auburnroad_client.questionnaire import questions

WIDTH_COLUMNS = 79
INDENT = '  '


def render_commented(value: msgspec.Struct, heading: str = '') -> str:
    """Render a struct as JSON with the questions of its fields as comments.

    Args:
      value: Struct whose fields have msgspec descriptions.
      heading: Text of the comment at the top, or empty.

    Returns:
      The text, which parses to the same value.
    """
    lines = _render_comment(heading, '')
    lines += _Renderer().render(value, '')
    return '\n'.join(lines) + '\n'


def _render_comment(text: str, indent: str) -> list[str]:
    prefix = f'{indent}// '
    return textwrap.wrap(
        text,
        WIDTH_COLUMNS,
        initial_indent=prefix,
        subsequent_indent=prefix,
        break_on_hyphens=False,
    )


class _Renderer:
    """Renders values and tracks which fields already have a comment."""

    __slots__ = ('_commented_fields',)

    def __init__(self):
        self._commented_fields: set[tuple[type, str]] = set()

    def render(self, value: typing.Any, indent: str) -> list[str]:
        """Render a value as lines; the first line has no indent."""
        if isinstance(value, msgspec.Struct):
            return self._render_struct(value, indent)
        if isinstance(value, list) and value:
            if isinstance(value[0], msgspec.Struct):
                return self._render_list(value, indent)
        return [json.dumps(value, ensure_ascii=False)]

    def _render_struct(self, value, indent: str) -> list[str]:
        inner = indent + INDENT
        lines = ['{']
        kind = getattr(value, 'kind', '')
        for question in questions.list_questions(type(value)):
            if question.only_kind not in ('', kind):
                continue
            member = getattr(value, question.field)
            key = (type(value), question.field)
            if key not in self._commented_fields:
                self._commented_fields.add(key)
                lines += _render_comment(question.text, inner)
            elif member == question.default:
                continue
            rendered = self.render(member, inner)
            lines.append(f'{inner}"{question.field}": {rendered[0]}')
            lines += rendered[1:]
            lines[-1] += ','
        return [*lines, indent + '}']

    def _render_list(self, values, indent: str) -> list[str]:
        inner = indent + INDENT
        lines = ['[']
        for value in values:
            rendered = self._render_struct(value, inner)
            lines.append(inner + rendered[0])
            lines += rendered[1:]
            lines[-1] += ','
        return [*lines, indent + ']']
