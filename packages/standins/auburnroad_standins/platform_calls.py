"""Requests of the platform's callers, trainers and operators.

Tests and the soak build their messages here, so that only the adapter and
its stand-ins contain the platform's names.
"""

import base64

import msgspec

from auburnroad_core.http import messages

READY_PATH = '/-/readyz'
CONFIGURATION_KEY = 'config'
OPERATOR_TOPIC = 'keyed.op'
REQUEST_ID = 'request-id'
# Error code of a request that is refused because it crashes replicas.
CRASHES_REPLICAS = 'crashes_replicas'


class Submission(msgspec.Struct, frozen=True):
    """A batch that a trainer submits for a training step.

    Attributes:
      batch_id: Id of the batch.
      path: Path to which the batch is submitted and its items are sent.
      step: Number of the training step.
      model: Model that generates the results.
      minimum_version: Oldest weight version that may generate results.
      groups_wanted: Number of groups that complete the batch.
      items: Ids of the items; each id is also the item's body.
      group_size: Number of items in a group.
      reward_host: Host of the reward calls; empty for items without one.
      reward_path: Path of the reward calls, whose body is the item's id.
    """

    batch_id: str
    path: str
    step: int
    model: str
    minimum_version: int
    groups_wanted: int
    items: list[str]
    group_size: int
    reward_host: str = ''
    reward_path: str = ''


def build_submission(batch: Submission) -> messages.Request:
    """Build the request that submits a batch."""
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
                'scorer': _build_scorer(batch, item),
            }
            for number, item in enumerate(batch.items)
        ],
    }
    headers = {REQUEST_ID: batch.batch_id}
    return messages.Request(
        'POST', batch.path, headers, msgspec.json.encode(body)
    )


def name_reward_call(item_id: str) -> str:
    """Name the reward call of an item."""
    return f'{item_id}.reward'


def _build_scorer(batch: Submission, item_id: str) -> dict | None:
    if not batch.reward_host:
        return None
    return {
        'id': name_reward_call(item_id),
        'host': batch.reward_host,
        'path': batch.reward_path,
        'body': base64.b64encode(item_id.encode()).decode(),
    }


def build_read(batch_id: str, position: int, wait_ms: int) -> messages.Request:
    """Build the request that reads a batch's results from a position on."""
    return messages.Request(
        'GET',
        f'/-/lots/{batch_id}?after={position}',
        {'wait-ms': str(wait_ms)},
    )


def build_body_read(batch_id: str, item_id: str) -> messages.Request:
    """Build the request that reads the submitted body of an item."""
    return messages.Request('GET', f'/-/items/{batch_id}?id={item_id}', {})


def build_end(batch_id: str) -> messages.Request:
    """Build the request that ends a batch."""
    return messages.Request('DELETE', f'/-/lots/{batch_id}', {})


def build_single(
    path: str, request_id: str, timeout_ms: int
) -> messages.Request:
    """Build an interactive request, whose body is the request id."""
    headers = {REQUEST_ID: request_id, 'deadline-ms': str(timeout_ms)}
    return messages.Request('POST', path, headers, request_id.encode())


def build_stream(
    path: str,
    request_id: str,
    text_id: str,
    begun_by: str,
    last_event: int | None,
) -> messages.Request:
    """Build the request that reads a stream, or takes it up.

    Args:
      path: Path of the request.
      request_id: Id of the attempt.
      text_id: Id of the stream's text, which is the body.
      begun_by: Id of the attempt that brought the first event; empty if none
        did, or not to tell.
      last_event: Number of the last event that came; None for none.
    """
    headers = {REQUEST_ID: request_id}
    if begun_by:
        headers['resumes'] = begun_by
    if last_event is not None:
        headers['last-event-id'] = str(last_event)
    return messages.Request('POST', path, headers, text_id.encode())


def build_identity(key: str, account: str) -> dict[str, str]:
    """Build the headers by which a caller names its key and an account."""
    return {'authorization': f'Bearer {key}', 'tenant': account}


def find_account(headers: dict[str, str]) -> str:
    """Find the account that a replica is told; empty if none."""
    return headers.get('tenant', '')


def carries_key(headers: dict[str, str]) -> bool:
    """Tell whether a request to a replica carries a key."""
    return 'authorization' in headers


def parse_event(event: bytes) -> tuple[int, str]:
    """Parse the number and the data of an event."""
    fields = dict(
        line.split(': ', 1)
        for line in event.decode().split('\n')
        if ': ' in line
    )
    return int(fields['id']), fields['data']


def find_error_code(response: messages.Response) -> str:
    """Find the error code of a gateway's own answer, empty for any other."""
    if response.status < 400 or response.headers.get('response-stamp'):
        return ''
    try:
        return msgspec.json.decode(response.body)['error']['code']
    except (msgspec.DecodeError, KeyError, TypeError):
        return ''


def is_own_answer(response: messages.Response, request_id: str) -> bool:
    """Tell whether a response was signed by a replica for this request."""
    signature = response.headers.get('response-stamp', '')
    return response.body == request_id.encode() and request_id in signature


def is_leaving(response: messages.Response) -> bool:
    """Tell whether the replica of a response states that it leaves."""
    return response.headers.get('server-leaving') == '1'


def find_replica(response: messages.Response) -> str:
    """Find the id of the replica that signed a response; empty if none."""
    return response.headers.get('response-stamp', '').partition('.')[0]


def build_named_version(model: str, version: int) -> tuple[str, dict]:
    """Build the key and value of a record of a model's weight version."""
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
    """Build a route for batches of a trainer."""
    return build_route(
        host, prefix, 'rollout', service, dueMs=7500, retentionS=60.0
    )


def build_configuration(
    version: int,
    routes: list[dict],
    services: dict[str, str],
    accounts: dict[str, list[str]] | None = None,
) -> dict:
    """Build a configuration.

    Args:
      version: Version of the configuration.
      routes: Routes, as build_route returns them.
      services: Model of each service; an empty string for a plain service.
      accounts: Keys of each account; None for a deployment without accounts.

    Returns:
      The value of the operator's record.
    """
    tenants = {}
    if accounts is not None:
        tenants['tenants'] = [
            {'name': name, 'apiKeys': keys, 'priority': 1}
            for name, keys in accounts.items()
        ]
    return {
        **tenants,
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
