"""The configuration of a deployment, as generated from the answers.

It travels as a Publish record on the log service and is in force in every
daemon under its revision. Daemons only read it; operators change it by
answering the questionnaire again.
"""

import typing

import msgspec

from auburnroad_core.settings import check

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
]
PositiveInt = typing.Annotated[int, msgspec.Meta(ge=1)]
NonNegativeInt = typing.Annotated[int, msgspec.Meta(ge=0)]
Fraction = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class Service(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A service that targets provide.

    Attributes:
      name: Service's name.
      kind: 'model' for model engines, 'plain' for plain services.
      slots_per_replica: Requests that a side gives one replica at a time.
      queue_per_replica: Requests that a side lets wait for each replica.
      idempotent_methods: HTTP methods that may be repeated; a model's
        completions always may.
      checks_fencing: Whether the engines refuse orders with an old fencing
        number.
      moves_kv_cache: Whether the engines export and import KV cache.
      call_timeout_ms: Deadline of a request that names none, in
        milliseconds.
    """

    name: Name
    kind: typing.Literal['model', 'plain']
    slots_per_replica: PositiveInt = 8
    queue_per_replica: NonNegativeInt = 32
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS')
    checks_fencing: bool = False
    moves_kv_cache: bool = False
    call_timeout_ms: PositiveInt = 30_000


class Trainer(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A trainer and what it tolerates.

    Attributes:
      name: Trainer's name.
      service: Model service whose replicas generate its samples.
      model: Model or adapter whose weights the trainer publishes.
      staleness_bound: How many versions the oldest token of a sample may be
        behind the trainer's version at hand-over.
      groups_per_step: Groups that a step consists of.
      samples_per_group: Samples in a group.
      group_fraction: Share of the step's groups that is waited for; late
        ones are carried into the next step while they are fresh.
      share: Weight among the trainers that share the engines.
      sample_timeout_ms: Time that one attempt may take, in milliseconds.
      hedge_after_ms: Age in milliseconds at which a straggler gets a second
        attempt; 0 for never.
    """

    name: Name
    service: Name
    model: Name
    staleness_bound: NonNegativeInt = 2
    groups_per_step: PositiveInt = 16
    samples_per_group: PositiveInt = 4
    group_fraction: Fraction = 1.0
    share: PositiveInt = 1
    sample_timeout_ms: PositiveInt = 120_000
    hedge_after_ms: NonNegativeInt = 0


class Policies(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Names of the decisions in force, each from its registry."""

    routing: str = 'affinity'
    ordering: str = 'fair'
    swapping: str = 'rolling'
    hedging: str = 'never'


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Sizes and times that protect the system.

    Attributes:
      body_bytes: Largest body of a caller's request.
      header_bytes: Largest request line with headers.
      key_life_ms: Age in milliseconds above which an idempotency key is
        refused; the log keeps its records for longer.
      retention_ms: How long the log service keeps records, in milliseconds.
      retry_budget: Retries allowed for each first attempt, as a fraction.
      drain_ms: Time that a planned stop may take, in milliseconds.
      interactive_share: Share of a replica's slots kept for callers.
    """

    body_bytes: PositiveInt = 16 * 1024 * 1024
    header_bytes: PositiveInt = 32768
    key_life_ms: PositiveInt = 3_600_000
    retention_ms: PositiveInt = 86_400_000
    retry_budget: Fraction = 0.2
    drain_ms: PositiveInt = 30_000
    interactive_share: Fraction = 0.25


class Deployment(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole configuration of one deployment."""

    name: Name
    failure_domains: typing.Annotated[list[Name], msgspec.Meta(min_length=1)]
    services: typing.Annotated[list[Service], msgspec.Meta(min_length=1)]
    trainers: list[Trainer] = []
    policies: Policies = Policies()
    limits: Limits = Limits()

    def find_service(self, name: str) -> Service | None:
        """Find a service by its name."""
        return next((s for s in self.services if s.name == name), None)

    def find_trainer(self, name: str) -> Trainer | None:
        """Find a trainer by its name."""
        return next((t for t in self.trainers if t.name == name), None)

    def find_model(self, name: str) -> Service | None:
        """Find the model service that answers for a model's name.

        Args:
          name: Name of a model service or of a trainer's model.

        Returns:
          The service, or None.
        """
        for trainer in self.trainers:
            if trainer.model == name:
                return self.find_service(trainer.service)
        service = self.find_service(name)
        if service is not None and service.kind == 'model':
            return service
        return None


@check.register_check(Deployment)
def check_names(deployment: Deployment):
    """Check that names are unique and that those referred to exist.

    Args:
      deployment: The configuration.

    Yields:
      Path, message and remedy of each mistake.
    """
    for kind in ('services', 'trainers'):
        seen = set()
        for index, item in enumerate(getattr(deployment, kind)):
            if item.name in seen:
                yield (kind, index, 'name'), f'{item.name!r} is taken', ''
            seen.add(item.name)
    for index, trainer in enumerate(deployment.trainers):
        service = deployment.find_service(trainer.service)
        if service is None or service.kind != 'model':
            yield (
                ('trainers', index, 'service'),
                f'{trainer.service!r} is no model service',
                'name a service of kind model',
            )


@check.register_check(Deployment)
def check_key_life(deployment: Deployment):
    """Check that the log outlives the idempotency keys.

    Args:
      deployment: The configuration.

    Yields:
      Path, message and remedy of each mistake.
    """
    limits = deployment.limits
    if limits.key_life_ms * 2 > limits.retention_ms:
        yield (
            ('limits', 'key_life_ms'),
            'keys would outlive half of the log retention',
            f'at most {limits.retention_ms // 2}',
        )
