"""Checks a document against a type and builds the typed settings.

The type is the only definition: msgspec generates its JSON schema, and
jsonschema reports all errors of a document at once. Rules that a schema can't
express, such as references between fields, are checked by functions that are
registered for a type and yield the errors of a value.
"""

import functools
import typing

import jsonschema
import msgspec

from auburnroad_core import errors
from auburnroad_core.settings import source

Value = typing.TypeVar('Value')
CrossCheck = typing.Callable[
    [typing.Any], typing.Iterable[tuple[source.Path, str, str]]
]

_CROSS_CHECKS: dict[type, list[CrossCheck]] = {}


def register_check(
    value_type: type,
) -> typing.Callable[[CrossCheck], CrossCheck]:
    """Return a decorator that registers a check of a settings type.

    Args:
      value_type: Type of the values to check.

    Returns:
      A decorator for a function that takes a value and yields path, message
      and remedy of each error.
    """

    def decorate(check: CrossCheck) -> CrossCheck:
        _CROSS_CHECKS.setdefault(value_type, []).append(check)
        return check

    return decorate


@functools.cache
def _build_validator(value_type: type) -> jsonschema.Draft202012Validator:
    return jsonschema.Draft202012Validator(msgspec.json.schema(value_type))


def check_document(
    document: source.Document, value_type: type[Value]
) -> tuple[Value | None, list[errors.ErrorRecord]]:
    """Check a document and convert it to a typed value.

    Args:
      document: Parsed document.
      value_type: Type of the value; unknown fields are errors.

    Returns:
      The typed value and the errors found. The value is None when the
      document does not match the type; it is set when only registered checks
      found errors.
    """
    records = [
        record
        for error in _build_validator(value_type).iter_errors(document.value)
        for record in _build_records(document, error)
    ]
    if records:
        return None, sorted(records, key=_sort_key)
    try:
        value = msgspec.convert(document.value, value_type)
    except msgspec.ValidationError as error:
        position = document.locate(())
        return None, [errors.ErrorRecord(position, '', str(error))]
    return value, _run_cross_checks(document, value, value_type)


def _run_cross_checks(document, value, value_type) -> list[errors.ErrorRecord]:
    return [
        errors.ErrorRecord(
            document.locate(path), source.format_path(path), message, remedy
        )
        for check in _CROSS_CHECKS.get(value_type, [])
        for path, message, remedy in check(value)
    ]


def _sort_key(record: errors.ErrorRecord):
    return record.source.line, record.source.column, record.field


def _build_records(document, error) -> list[errors.ErrorRecord]:
    """Convert a schema error to records that name the field."""
    if error.context:
        deepest = max(error.context, key=lambda e: len(e.absolute_path))
        if len(deepest.absolute_path) > len(error.absolute_path):
            return _build_records(document, deepest)
    path = tuple(error.absolute_path)
    if error.validator == 'required':
        # jsonschema reports each missing field as a separate error.
        name = error.message.split("'")[1]
        return [
            _build_record(
                document, (*path, name), 'the field is missing', 'add it'
            )
        ]
    if error.validator == 'additionalProperties':
        known = sorted(error.schema.get('properties', {}))
        return [
            _build_record(
                document,
                (*path, name),
                'the field is unknown',
                'known here: ' + ', '.join(known),
            )
            for name in error.instance
            if name not in known
        ]
    return [_build_record(document, path, _build_message(error))]


def _build_message(error) -> str:
    """Build an error message for operators, without JSON schema terms."""
    value = error.instance
    shown = repr(value) if not isinstance(value, (dict, list)) else 'this'
    texts = {
        'type': f'{shown} is not of type {error.validator_value}',
        'minimum': f'{shown} is below {error.validator_value}',
        'exclusiveMinimum': f'{shown} is not above {error.validator_value}',
        'maximum': f'{shown} is above {error.validator_value}',
        'enum': f'{shown} is not one of {error.validator_value}',
        'pattern': f'{shown} does not look like {error.validator_value}',
        'minLength': f'{shown} is too short',
        'minItems': 'the list has too few members',
    }
    return texts.get(error.validator, error.message)


def _build_record(document, path, message, remedy='') -> errors.ErrorRecord:
    return errors.ErrorRecord(
        document.locate(path), source.format_path(path), message, remedy
    )


def load_file(path: str, value_type: type[Value]) -> Value:
    """Read and check a file and convert it to a typed value.

    Args:
      path: Path of a file of JSON with comments.
      value_type: Type of the value.

    Returns:
      The typed value.

    Raises:
      InvalidInputError: If the file is not valid; contains all errors found.
    """
    document, records = source.read_file(path)
    errors.raise_collected(f'{path} is not valid', records)
    value, records = check_document(document, value_type)
    errors.raise_collected(f'{path} is not valid', records)
    return value
