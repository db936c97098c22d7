"""Renders the settings template of the deploy file, as DEPLOY.md tells it."""

import json
import re

_TOKEN = re.compile(r'\{\{([#^/]?)\s*([^}|\s]+)(\|json)?\s*\}\}')


def render(template: str, fields: dict) -> str:
    """Fill in values and the sections that this project's template uses."""
    tokens = _tokenize(template)
    text, rest = _render(tokens, 0, fields)
    assert rest == len(tokens)
    return text


def _tokenize(template):
    tokens = []
    position = 0
    for match in _TOKEN.finditer(template):
        tokens.append(('text', template[position : match.start()], ''))
        tokens.append((match[1] or 'value', match[2], match[3] or ''))
        position = match.end()
    tokens.append(('text', template[position:], ''))
    return tokens


def _render(tokens, position, fields, shown=True):
    text = ''
    while position < len(tokens):
        kind, name, form = tokens[position]
        position += 1
        if kind == 'text':
            text += name
        elif kind == 'value':
            text += _format(_find(fields, name), form)
        elif kind == '/':
            break
        else:
            value = _find(fields, name)
            holds = bool(value) == (kind == '#')
            inner, position = _render(tokens, position, fields)
            text += inner if holds else ''
    return text, position


def _find(fields, name):
    value = fields
    for part in name.split('.'):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def _format(value, form):
    if form:
        return json.dumps(value)
    if value is None:
        return ''
    if isinstance(value, list):
        return ','.join(map(str, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)
