"""The configuration of a deployment, generated from questionnaire answers.

The configuration is published as a Publish record in the log service, whose
offset is the revision that every daemon applies. Daemons only read it;
operators change it by answering the questionnaire again.
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
      slots_per_replica: Maximum number of concurrent requests to one replica.
      queue_per_replica: Maximum number of queued requests for each replica.
      idempotent_methods: HTTP methods that may be retried; completions of a
        model may always be retried.
      checks_fencing: Whether the engines reject orders with an old fencing
        number.
      moves_kv_cache: Whether the engines export and import their KV cache.
      call_timeout_ms: Timeout of a request without a deadline of its own, in
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
    """A trainer and the limits for its samples.

    Attributes:
      name: Trainer's name.
      service: Model service whose replicas generate its samples.
      model: Model or adapter whose weights the trainer publishes.
      staleness_bound: Maximum number of versions that the oldest token of a
        sample may be older than the trainer's version at delivery.
      groups_per_step: Number of groups in a step.
      samples_per_group: Number of samples in a group.
      group_fraction: Fraction of the step's groups that must be complete
        before delivery; late groups are carried into the next step if they
        are within the staleness bound.
      share: Scheduling weight among the trainers that share the engines.
      sample_timeout_ms: Timeout of one attempt, in milliseconds.
      hedge_after_ms: Age in milliseconds after which a slow sample gets a
        second attempt; 0 for never.
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
    """Names of the policies in force, each from its registry."""

    routing: str = 'affinity'
    ordering: str = 'fair'
    swapping: str = 'rolling'
    hedging: str = 'never'


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Size and time limits that protect the system from overload.

    Attributes:
      body_bytes: Maximum size of the body of a caller's request.
      header_bytes: Maximum size of the request line and headers together.
      key_life_ms: Age in milliseconds above which an idempotency key is
        rejected; the log keeps the key's records for longer.
      retention_ms: Time for which the log service keeps records, in
        milliseconds.
      retry_budget: Retries allowed for each first attempt, as a fraction.
      drain_ms: Maximum duration of a planned stop, in milliseconds.
      interactive_share: Fraction of a replica's slots reserved for callers.
    """

    body_bytes: PositiveInt = 16 * 1024 * 1024
    header_bytes: PositiveInt = 32768
    key_life_ms: PositiveInt = 3_600_000
    retention_ms: PositiveInt = 86_400_000
    retry_budget: Fraction = 0.2
    drain_ms: PositiveInt = 30_000
    interactive_share: Fraction = 0.25


class Deployment(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The complete configuration of one deployment."""

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
        """Find the model service that serves a model.

        Args:
          name: Name of a model service or of a trainer's model.

        Returns:
          The service, or None for an unknown name.
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
    """Check that names are unique and that referenced names exist.

    Args:
      deployment: The configuration.

    Yields:
      Path, message and remedy of each error.
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
    """Check that the log is kept for at least twice the life of a key.

    Args:
      deployment: The configuration.

    Yields:
      Path, message and remedy of each error.
    """
    limits = deployment.limits
    if limits.key_life_ms * 2 > limits.retention_ms:
        yield (
            ('limits', 'key_life_ms'),
            'keys would outlive half of the log retention',
            f'at most {limits.retention_ms // 2}',
        )
