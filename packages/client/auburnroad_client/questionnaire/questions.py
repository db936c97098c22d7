"""Questions of a struct type, read from the annotations of its fields.

The terminal and the renderer of answers files share this view of the fields
of answers.py.
"""

import functools
import typing

import msgspec


class Question(msgspec.Struct, frozen=True):
    """Question for the value of one field.

    Attributes:
      field: Name of the field.
      kind: Annotated type of the answer, with its limits.
      text: The question.
      default: Plain or typed default; NODEFAULT for none.
      refers_to: Kind of object whose name the answer is, or empty.
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
      One question per field.
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
    """Return the type without its annotations.

    Args:
      kind: A type, annotated or not.

    Returns:
      The type itself.
    """
    while typing.get_origin(kind) is typing.Annotated:
        kind = kind.__origin__
    return kind


def find_member(shape: typing.Any) -> typing.Any:
    """Return the type of the members of a list.

    Args:
      shape: A type without annotations.

    Returns:
      The type without annotations, or None if the shape is not a list.
    """
    if typing.get_origin(shape) in (list, tuple):
        return strip_annotation(typing.get_args(shape)[0])
    return None


def list_choices(kind: typing.Any) -> list[str]:
    """List the allowed texts of an answer or of its members.

    Args:
      kind: Type of the answer.

    Returns:
      The texts, or an empty list if any text is allowed.
    """
    shape = strip_annotation(kind)
    shape = find_member(shape) or shape
    if typing.get_origin(shape) is typing.Literal:
        return list(typing.get_args(shape))
    return []
