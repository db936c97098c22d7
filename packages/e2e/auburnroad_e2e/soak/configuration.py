"""The configuration that the operators of a soak run publish."""

from auburnroad_standins import platform_calls
from auburnroad_standins import platform_replica

HOST = 'soak.example'
MODEL = 'writer'
MODEL_SERVICE = 'engines'
PLAIN_SERVICE = 'lookups'


def build_configuration(version: int, routes_added, accounts) -> dict:
    """Build the configuration record.

    Args:
      version: Revision of the configuration.
      routes_added: Prefixes of further routes, each with the time of its
        addition.
      accounts: Client accounts as the platform encodes them.

    Returns:
      The record's value, before its encoding.
    """
    return platform_calls.build_configuration(
        version,
        [
            platform_calls.build_route(
                HOST, '/plain/', 'idempotent', PLAIN_SERVICE
            ),
            platform_calls.build_route(
                HOST, '/once/', 'non_idempotent', PLAIN_SERVICE
            ),
            platform_calls.build_route(
                HOST, '/public/', 'idempotent', PLAIN_SERVICE, public=True
            ),
            platform_calls.build_batch_route(HOST, '/batch/', MODEL_SERVICE),
            platform_calls.build_route(
                HOST,
                platform_replica.STREAM_PREFIX,
                'streaming',
                MODEL_SERVICE,
                resumable=True,
            ),
            *(
                platform_calls.build_route(
                    HOST, prefix, 'idempotent', PLAIN_SERVICE
                )
                for prefix, _ in routes_added
            ),
        ],
        {MODEL_SERVICE: MODEL, PLAIN_SERVICE: ''},
        accounts,
    )
