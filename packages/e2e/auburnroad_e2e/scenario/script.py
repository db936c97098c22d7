"""Parses scenario scripts into steps.

The grammar stands in grammar.lark. A sentence becomes a step: the name of
its rule and its arguments, which steps, conditions and claims registered
under that name carry out.
"""

import importlib.resources
import typing

import lark
import msgspec

from auburnroad_core import errors

VALUES = ('seconds', 'millis', 'value', 'names', 'settings', 'setting')


class Phrase(msgspec.Struct, frozen=True):
    """A sentence or a part of one.

    Attributes:
      name: Name of its rule in the grammar.
      arguments: Numbers, texts, phrases, and None for what isn't said.
      line: Line in the script.
    """

    name: str
    arguments: tuple[typing.Any, ...]
    line: int


class Script(msgspec.Struct, frozen=True):
    """A scenario.

    Attributes:
      name: Name of its file.
      title: What it shows, from the first comment.
      steps: Its sentences.
    """

    name: str
    title: str
    steps: list[Phrase]


@lark.v_args(meta=True)
class _Builder(lark.Transformer):
    """Turns the parse tree into phrases."""

    def __default__(self, data, children, meta):
        line = 0 if meta.empty else meta.line
        return Phrase(str(data), tuple(children), line)

    def __default_token__(self, token):
        if token.type == 'INT':
            return int(token)
        if token.type == 'FLOAT':
            return float(token)
        return str(token)

    def start(self, meta, children):
        return list(children)

    def seconds(self, meta, children):
        return float(children[0])

    def millis(self, meta, children):
        return children[0]

    def value(self, meta, children):
        return children[0]

    def names(self, meta, children):
        return tuple(children)

    def setting(self, meta, children):
        return tuple(children)

    def settings(self, meta, children):
        return tuple(children)


def _build_parser() -> lark.Lark:
    package = importlib.resources.files('auburnroad_e2e.scenario')
    grammar = package.joinpath('grammar.lark').read_text(encoding='utf-8')
    return lark.Lark(
        grammar,
        parser='earley',
        propagate_positions=True,
        maybe_placeholders=True,
    )


_PARSER = _build_parser()


def parse_script(name: str, text: str) -> Script:
    """Parse a script.

    Args:
      name: Name of its file.
      text: Its text.

    Returns:
      The scenario.

    Raises:
      InvalidInputError: If a sentence isn't one of the language.
    """
    try:
        tree = _PARSER.parse(text)
    except lark.exceptions.UnexpectedInput as error:
        record = errors.ErrorRecord(
            errors.Source(name, max(error.line, 0), max(error.column, 0)),
            '',
            'no sentence of the scenario language',
        )
        raise errors.InvalidInputError(name, [record]) from error
    first = text.lstrip().partition('\n')[0]
    title = first.removeprefix('#').strip() if first.startswith('#') else ''
    return Script(name, title, _Builder().transform(tree))
