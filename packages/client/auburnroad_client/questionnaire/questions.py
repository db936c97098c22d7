"""The questions of a type, read from its annotations.

The terminal and the answers file both go through the fields of answers.py;
this is their one view of a field.
"""

import functools
import typing

import msgspec


class Question(msgspec.Struct, frozen=True):
    """One field and what an operator is asked for it.

    Attributes:
      field: Name of the field.
      kind: Type of the answer, with its limits.
      text: The question.
      default: Plain or typed default; NODEFAULT when there is none.
      refers_to: Kind of names that the answer is one of, or empty.
      only_kind: Kind of service that the question is for, or empty for all.
    """

    field: str
    kind: typing.Any
    text: str
    default: typing.Any
    refers_to: str = ''
    only_kind: str = ''


@functools.cache
def list_questions(shape: type[msgspec.Struct]) -> list[Question]:
    """List the questions of a struct in the order of its fields.

    Args:
      shape: Type whose fields have msgspec descriptions.

    Returns:
      One question for each field.
    """
    hints = typing.get_type_hints(shape, include_extras=True)
    return [
        _build_question(field, hints[field.name])
        for field in msgspec.structs.fields(shape)
    ]


def _build_question(field, kind) -> Question:
    metas = getattr(kind, '__metadata__', ())
    texts = [meta.description for meta in metas if meta.description]
    extra = {}
    for meta in metas:
        extra.update(meta.extra or {})
    default = field.default
    if field.default_factory is not msgspec.NODEFAULT:
        default = field.default_factory()
    return Question(
        field.name, kind, texts[-1] if texts else '', default, **extra
    )


def strip_annotation(kind: typing.Any) -> typing.Any:
    """Find the type below its annotations.

    Args:
      kind: A type, annotated or not.

    Returns:
      The type itself.
    """
    while typing.get_origin(kind) is typing.Annotated:
        kind = kind.__origin__
    return kind


def find_member(shape: typing.Any) -> typing.Any:
    """Find the type of a list's members.

    Args:
      shape: A type without annotations.

    Returns:
      The members' type without annotations, or None for no list.
    """
    if typing.get_origin(shape) in (list, tuple):
        return strip_annotation(typing.get_args(shape)[0])
    return None


def list_choices(kind: typing.Any) -> list[str]:
    """List the texts that an answer, or a member of it, is one of.

    Args:
      kind: Type of the answer.

    Returns:
      The texts, or an empty list when others are allowed.
    """
    shape = strip_annotation(kind)
    shape = find_member(shape) or shape
    if typing.get_origin(shape) is typing.Literal:
        return list(typing.get_args(shape))
    return []
