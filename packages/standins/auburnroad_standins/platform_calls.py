"""What callers, trainers and operators of the users' platform send.

Tests and the soak build their messages here, so that the platform's names
stand in the adapter and in its stand-ins only.
"""

import base64

import msgspec

from auburnroad_core.http import messages

READY_PATH = '/-/readyz'
CONFIGURATION_KEY = 'config'
OPERATOR_TOPIC = 'keyed.op'
REQUEST_ID = 'request-id'


class Submission(msgspec.Struct, frozen=True):
    """A step that a trainer submits.

    Attributes:
      batch_id: Its id.
      path: Where it is submitted, and its items are sent.
      step: Training step.
      model: Model that generates.
      minimum_version: Oldest weight version that may generate.
      groups_wanted: Groups that the trainer waits for.
      items: Ids of the items, which are also their bodies.
      group_size: Items of a group.
    """

    batch_id: str
    path: str
    step: int
    model: str
    minimum_version: int
    groups_wanted: int
    items: list[str]
    group_size: int


def build_submission(batch: Submission) -> messages.Request:
    """Build the request that submits a step."""
    body = {
        'step': batch.step,
        'model': batch.model,
        'minVersion': batch.minimum_version,
        'groupCount': batch.groups_wanted,
        'items': [
            {
                'id': item,
                'path': batch.path,
                'headers': {},
                'body': base64.b64encode(item.encode()).decode(),
                'tokens': 100,
                'group': f'{batch.batch_id}g{number // batch.group_size}',
            }
            for number, item in enumerate(batch.items)
        ],
    }
    headers = {REQUEST_ID: batch.batch_id}
    return messages.Request(
        'POST', batch.path, headers, msgspec.json.encode(body)
    )


def build_read(batch_id: str, position: int, wait_ms: int) -> messages.Request:
    """Build the request for results from a position on."""
    return messages.Request(
        'GET',
        f'/-/lots/{batch_id}?after={position}',
        {'wait-ms': str(wait_ms)},
    )


def build_body_read(batch_id: str, item_id: str) -> messages.Request:
    """Build the request for an item's body."""
    return messages.Request('GET', f'/-/items/{batch_id}?id={item_id}', {})


def build_end(batch_id: str) -> messages.Request:
    """Build the request that ends a batch."""
    return messages.Request('DELETE', f'/-/lots/{batch_id}', {})


def build_single(
    path: str, request_id: str, patience_ms: int
) -> messages.Request:
    """Build a single request, whose body is its id."""
    headers = {REQUEST_ID: request_id, 'deadline-ms': str(patience_ms)}
    return messages.Request('POST', path, headers, request_id.encode())


def is_own_answer(response: messages.Response, request_id: str) -> bool:
    """Tell whether an answer is a replica's, and to this very request."""
    signature = response.headers.get('response-stamp', '')
    return response.body == request_id.encode() and request_id in signature


def build_named_version(model: str, version: int) -> tuple[str, dict]:
    """Build the key and value by which a trainer names a version."""
    return f'version/{model}', {'model': model, 'version': version}


def build_route(
    host: str, prefix: str, kind: str, service: str, **fields
) -> dict:
    """Build a route of a configuration."""
    return {
        'name': prefix.strip('/'),
        'host': host,
        'pathPrefix': prefix,
        'kind': kind,
        'service': service,
        'timeoutMs': 2000,
        'targetLatencyMs': 400,
        'maxAttempts': 3,
        **fields,
    }


def build_batch_route(host: str, prefix: str, service: str) -> dict:
    """Build a route of a trainer's batches."""
    return build_route(
        host, prefix, 'rollout', service, dueMs=7500, retentionS=60.0
    )


def build_configuration(
    version: int, routes: list[dict], services: dict[str, str]
) -> dict:
    """Build a configuration.

    Args:
      version: Its version.
      routes: Its routes.
      services: Model by service; empty for a plain service.

    Returns:
      The operators' record.
    """
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'engine': {
                    'stride': 1,
                    'kvCapacity': 0,
                    'models': [{'name': model}],
                },
            }
            if model
            else {'name': name}
            for name, model in services.items()
        ],
        'limits': {},
    }
