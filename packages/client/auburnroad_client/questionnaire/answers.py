"""Types of the answers that an operator gives, in users' terms.

The descriptions of the fields are the questions: the terminal asks them, and
answers files contain them as comments. They name no internals of the system;
generate.py converts answers to settings and configuration.
"""

import typing

import msgspec

from auburnroad_core.settings import daemon
from auburnroad_core.settings import deployment

STREAM_PORT = 7300
HTTP_PORT = 7301

Kind = typing.Literal['model', 'plain']
Method = typing.Literal[
    'GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH'
]
IpNumber = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[0-9]{1,3}(\.[0-9]{1,3}){3}$')
]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
Names = typing.Annotated[list[deployment.Name], msgspec.Meta(min_length=1)]
Percent = typing.Annotated[int, msgspec.Meta(ge=0, le=100)]


def _build_question(question: str, **extra: str) -> msgspec.Meta:
    """Build the question of a field.

    Args:
      question: Text of the question, with the unit.
      **extra: 'refers_to' is the kind of object whose name the answer is;
        'only_kind' is the kind of service that the question applies to.

    Returns:
      The annotation for the type of the field.
    """
    return msgspec.Meta(description=question, extra=extra or None)


class Region(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A region and the failure domains in it."""

    name: typing.Annotated[
        deployment.Name, _build_question("Region's name, such as hu-central.")
    ]
    failure_domains: typing.Annotated[
        Names,
        _build_question(
            'Failure domains of the region: parts that fail on their own, such'
            ' as buildings or power feeds.'
        ),
    ]


class EntryHost(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A host behind the load balancer of the platform."""

    name: typing.Annotated[
        deployment.Name, _build_question("Host's name, as in the host list.")
    ]
    failure_domain: typing.Annotated[
        deployment.Name,
        _build_question(
            'Failure domain in which the host is located.',
            refers_to='failure domain',
        ),
    ]
    ip: typing.Annotated[IpNumber, _build_question('IP number of the host.')]
    stream_port: typing.Annotated[
        Port,
        _build_question(
            "TCP port for the streams between the system's processes."
        ),
    ] = STREAM_PORT
    http_port: typing.Annotated[
        Port,
        _build_question('TCP port for callers, trainers, health and metrics.'),
    ] = HTTP_PORT


class Replica(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A target process: one engine, or one process of a plain service."""

    name: typing.Annotated[
        deployment.Name,
        _build_question("Replica's name, unique in the deployment."),
    ]
    service: typing.Annotated[
        deployment.Name,
        _build_question(
            'Service that the replica provides.', refers_to='service'
        ),
    ]
    address: typing.Annotated[
        daemon.Address,
        _build_question("Address of its HTTP interface, 'IP number:port'."),
    ]


class TargetHost(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A host with replicas, on which one daemon runs."""

    name: typing.Annotated[
        deployment.Name, _build_question("Host's name, as in the host list.")
    ]
    failure_domain: typing.Annotated[
        deployment.Name,
        _build_question(
            'Failure domain in which the host is located.',
            refers_to='failure domain',
        ),
    ]
    ip: typing.Annotated[IpNumber, _build_question('IP number of the host.')]
    replicas: typing.Annotated[
        list[Replica],
        msgspec.Meta(min_length=1),
        _build_question('Engines and plain services that run on the host.'),
    ]
    stream_port: typing.Annotated[
        Port,
        _build_question(
            "TCP port for the streams between the system's processes."
        ),
    ] = STREAM_PORT
    http_port: typing.Annotated[
        Port, _build_question('TCP port for health and metrics.')
    ] = HTTP_PORT


class Places(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Regions and hosts of the deployment."""

    regions: typing.Annotated[
        list[Region],
        msgspec.Meta(min_length=1),
        _build_question('Regions of the deployment.'),
    ]
    entry_hosts: typing.Annotated[
        list[EntryHost],
        msgspec.Meta(min_length=1),
        _build_question(
            'Entry hosts: where callers and trainers connect. They need at'
            ' least two failure domains, so that the loss of one loses no'
            ' step.'
        ),
    ]
    target_hosts: typing.Annotated[
        list[TargetHost],
        msgspec.Meta(min_length=1),
        _build_question('Target hosts: where engines and plain services run.'),
    ]


class Platform(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Addresses of the services of the platform."""

    log_service: typing.Annotated[
        daemon.Address,
        _build_question("Address of the log service, 'IP number:port'."),
    ]
    host_list: typing.Annotated[
        daemon.Address,
        _build_question("Address of the host list, 'IP number:port'."),
    ]
    weight_store: typing.Annotated[
        daemon.Address,
        _build_question("Address of the weight store, 'IP number:port'."),
    ]


class Service(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A service that callers or trainers use."""

    name: typing.Annotated[
        deployment.Name,
        _build_question("Service's name, such as drafter-llm."),
    ]
    kind: typing.Annotated[
        Kind,
        _build_question(
            "Kind: 'model' for model engines, 'plain' for any other service."
        ),
    ]
    slots: typing.Annotated[
        deployment.PositiveInt,
        _build_question('Requests that one replica works on at a time.'),
    ] = 8
    waiting: typing.Annotated[
        deployment.NonNegativeInt,
        _build_question(
            'Requests that may wait for each replica before callers are told'
            ' to retry later.'
        ),
    ] = 32
    answer_seconds: typing.Annotated[
        deployment.PositiveInt,
        _build_question(
            'Time that a caller waits for an answer unless it says otherwise,'
            ' in seconds.'
        ),
    ] = 30
    idempotent_methods: typing.Annotated[
        tuple[Method, ...],
        _build_question(
            'HTTP methods whose calls may be repeated without harm; every'
            ' other call runs at most once.',
            only_kind='plain',
        ),
    ] = ('GET', 'HEAD', 'OPTIONS')
    checks_fencing: typing.Annotated[
        bool,
        _build_question(
            'Do the engines refuse an order with an old fencing number?',
            only_kind='model',
        ),
    ] = False
    moves_kv_cache: typing.Annotated[
        bool,
        _build_question(
            'Can the engines export and import KV cache?', only_kind='model'
        ),
    ] = False


class Trainer(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A trainer and what it tolerates."""

    name: typing.Annotated[deployment.Name, _build_question("Trainer's name.")]
    service: typing.Annotated[
        deployment.Name,
        _build_question(
            'Model service whose engines generate its samples.',
            refers_to='service',
        ),
    ]
    model: typing.Annotated[
        deployment.Name,
        _build_question(
            'Model or adapter whose weights the trainer publishes.'
        ),
    ]
    groups_per_step: typing.Annotated[
        deployment.PositiveInt,
        _build_question('Groups of samples in one step.'),
    ]
    samples_per_group: typing.Annotated[
        deployment.PositiveInt, _build_question('Samples in one group.')
    ]
    tolerated_staleness: typing.Annotated[
        deployment.NonNegativeInt,
        _build_question(
            'How many weight versions a sample may be behind the trainer when'
            ' it is handed over.'
        ),
    ] = 2
    late_groups: typing.Annotated[
        deployment.NonNegativeInt,
        _build_question(
            'How many groups of a step may arrive late, to be used in a later'
            ' step while they are fresh; 0 to wait for all.'
        ),
    ] = 0
    sample_seconds: typing.Annotated[
        deployment.PositiveInt,
        _build_question(
            'Longest time that generating one sample may take, in seconds.'
        ),
    ] = 120
    share: typing.Annotated[
        deployment.PositiveInt,
        _build_question(
            'Share of the engines, against the shares of the other trainers.'
        ),
    ] = 1


class Tolerances(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Time limits and shares that the operators accept."""

    log_retention_hours: typing.Annotated[
        deployment.PositiveInt,
        _build_question('How long the log service keeps records, in hours.'),
    ] = 24
    key_life_minutes: typing.Annotated[
        deployment.PositiveInt,
        _build_question(
            'How long a caller may repeat a call under its idempotency key, in'
            ' minutes; at most half of the time that the log is kept.'
        ),
    ] = 60
    drain_seconds: typing.Annotated[
        deployment.PositiveInt,
        _build_question(
            'How long a planned stop may take, in seconds; at least as long as'
            ' the longest sample or answer.'
        ),
    ] = 150
    caller_percent: typing.Annotated[
        Percent,
        _build_question(
            "Part of each engine's slots kept for interactive callers, in"
            ' percent.'
        ),
    ] = 25


class Answers(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All answers of one deployment."""

    deployment: typing.Annotated[
        deployment.Name, _build_question("Deployment's name.")
    ]
    weighs_more: typing.Annotated[
        typing.Literal['trainer-idle-time', 'staleness'],
        _build_question(
            'What costs you more: trainers that wait, or samples from older'
            ' weights?'
        ),
    ]
    services: typing.Annotated[
        list[Service],
        msgspec.Meta(min_length=1),
        _build_question('Services that callers and trainers use.'),
    ]
    places: typing.Annotated[
        Places, _build_question('Where the deployment runs.')
    ]
    platform: typing.Annotated[
        Platform, _build_question("Where the platform's services answer.")
    ]
    trainers: typing.Annotated[
        list[Trainer], _build_question('Trainers that take samples.')
    ] = []
    tolerances: typing.Annotated[
        Tolerances, _build_question('Times and shares that you accept.')
    ] = Tolerances()
