"""Checks of answers that involve more than one field.

They find unknown names, duplicate addresses and contradictory answers, and
suggest a remedy. read_answers() runs all checks, so that an operator sees
every mistake of a file at once.
"""

import ipaddress

from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_core.settings import check

MINUTES_PER_HOUR = 60
ENGINE_FIELDS = ('checks_fencing', 'moves_kv_cache')


def read_answers(path: str) -> answer_types.Answers:
    """Read an answers file and run all checks.

    Args:
      path: Path of the file.

    Returns:
      The answers.

    Raises:
      InvalidInputError: With every mistake of the file.
    """
    return check.load_file(path, answer_types.Answers)


def list_failure_domains(answers: answer_types.Answers) -> list[str]:
    """List the failure domains of all regions, in order.

    Args:
      answers: The answers.

    Returns:
      Names of the failure domains.
    """
    return [
        name
        for region in answers.places.regions
        for name in region.failure_domains
    ]


def _iterate_hosts(answers):
    """Yield the path and host of all entry hosts and target hosts."""
    for kind in ('entry_hosts', 'target_hosts'):
        for index, host in enumerate(getattr(answers.places, kind)):
            yield ('places', kind, index), host


def _iterate_replicas(answers):
    """Yield the path and replica of all target hosts."""
    for index, host in enumerate(answers.places.target_hosts):
        path = ('places', 'target_hosts', index, 'replicas')
        for number, replica in enumerate(host.replicas):
            yield (*path, number), replica


def _find_duplicates(named, kind):
    """Yield a mistake for each duplicate name."""
    seen = set()
    for path, name in named:
        if name in seen:
            message = f'two {kind} have the name {name!r}'
            yield path, message, 'use a different name for each'
        seen.add(name)


@check.register_check(answer_types.Answers)
def check_unique_names(answers: answer_types.Answers):
    """Check that names are unique.

    Args:
      answers: The answers.

    Yields:
      Path, message and remedy of each mistake.
    """
    named = {
        'hosts': _iterate_hosts(answers),
        'replicas': _iterate_replicas(answers),
        'services': _iterate_members(answers, 'services'),
        'trainers': _iterate_members(answers, 'trainers'),
    }
    for kind, items in named.items():
        names = [((*path, 'name'), item.name) for path, item in items]
        yield from _find_duplicates(names, kind)
    regions = answers.places.regions
    domains = [
        (('places', 'regions', index, 'failure_domains', number), name)
        for index, region in enumerate(regions)
        for number, name in enumerate(region.failure_domains)
    ]
    yield from _find_duplicates(domains, 'failure domains')


def _iterate_members(answers, kind):
    for index, item in enumerate(getattr(answers, kind)):
        yield (kind, index), item


@check.register_check(answer_types.Answers)
def check_failure_domains(answers: answer_types.Answers):
    """Check that failure domains exist, and that entry hosts use two.

    Args:
      answers: The answers.

    Yields:
      Path, message and remedy of each mistake.
    """
    known = list_failure_domains(answers)
    for path, host in _iterate_hosts(answers):
        if host.failure_domain not in known:
            yield (
                (*path, 'failure_domain'),
                f'{host.failure_domain!r} is not a failure domain of a region',
                'one of: ' + ', '.join(known),
            )
    used = {host.failure_domain for host in answers.places.entry_hosts}
    if len(used) < 2:
        yield (
            ('places', 'entry_hosts'),
            'all entry hosts are in one failure domain, whose failure would'
            ' lose a step',
            'add an entry host in another failure domain',
        )


@check.register_check(answer_types.Answers)
def check_replica_services(answers: answer_types.Answers):
    """Check that replicas have known services, and services a replica.

    Args:
      answers: The answers.

    Yields:
      Path, message and remedy of each mistake.
    """
    known = [service.name for service in answers.services]
    provided = set()
    for path, replica in _iterate_replicas(answers):
        provided.add(replica.service)
        if replica.service not in known:
            yield (
                (*path, 'service'),
                f'{replica.service!r} is not a service',
                'one of: ' + ', '.join(known),
            )
    for path, service in _iterate_members(answers, 'services'):
        if service.name not in provided:
            yield (
                (*path, 'name'),
                f'no replica provides {service.name!r}',
                'add a replica to a target host, or remove the service',
            )


def _iterate_addresses(answers):
    """Yield the path and 'IP number:port' of every listening socket."""
    for path, host in _iterate_hosts(answers):
        yield (*path, 'stream_port'), f'{host.ip}:{host.stream_port}'
        yield (*path, 'http_port'), f'{host.ip}:{host.http_port}'
    for path, replica in _iterate_replicas(answers):
        yield (*path, 'address'), replica.address
    for name in answer_types.Platform.__struct_fields__:
        yield ('platform', name), getattr(answers.platform, name)


@check.register_check(answer_types.Answers)
def check_addresses(answers: answer_types.Answers):
    """Check that addresses are valid and unique.

    Args:
      answers: The answers.

    Yields:
      Path, message and remedy of each mistake.
    """
    seen = {}
    for path, address in _iterate_addresses(answers):
        if not _is_address(address):
            yield path, f'{address!r} is not an address', 'use IP number:port'
        elif address in seen:
            yield (
                path,
                f'{address} is used twice, first by {seen[address]}',
                'use a different address or port for each',
            )
        seen.setdefault(address, _describe_path(path))


def _is_address(address: str) -> bool:
    ip, _, port = address.rpartition(':')
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return False
    return 0 < int(port) < 65536


def _describe_path(path) -> str:
    """Format the path of a field whose address is used again."""
    return check.source.format_path(path)


@check.register_check(answer_types.Answers)
def check_trainers(answers: answer_types.Answers):
    """Check the services, models and tolerances of trainers.

    Args:
      answers: The answers.

    Yields:
      Path, message and remedy of each mistake.
    """
    kinds = {service.name: service.kind for service in answers.services}
    models = [name for name, kind in kinds.items() if kind == 'model']
    published = {}
    for path, trainer in _iterate_members(answers, 'trainers'):
        if trainer.service not in models:
            yield (
                (*path, 'service'),
                f'{trainer.service!r} is not a model service',
                'one of: ' + (', '.join(models) or 'none yet'),
            )
        if trainer.late_groups >= trainer.groups_per_step:
            yield (
                (*path, 'late_groups'),
                f'all {trainer.groups_per_step} groups of a step may be late,'
                ' which would allow empty steps',
                f'at most {trainer.groups_per_step - 1}',
            )
        if trainer.model in published:
            yield (
                (*path, 'model'),
                f'{published[trainer.model]!r} publishes the weights of'
                f' {trainer.model!r} already',
                'each trainer needs its own model or adapter',
            )
        elif trainer.model in kinds and trainer.model != trainer.service:
            yield (
                (*path, 'model'),
                f'{trainer.model!r} is the name of another service',
                'use another name for the model',
            )
        published.setdefault(trainer.model, trainer.name)


@check.register_check(answer_types.Answers)
def check_contradictions(answers: answer_types.Answers):
    """Check that answers do not contradict each other.

    Args:
      answers: The answers.

    Yields:
      Path, message and remedy of each mistake.
    """
    for path, service in _iterate_members(answers, 'services'):
        if service.kind == 'model':
            continue
        for name in ENGINE_FIELDS:
            if getattr(service, name):
                yield (
                    (*path, name),
                    'this applies only to engines, and the service is plain',
                    "remove the answer, or change the service's kind to model",
                )
    yield from _check_times(answers)


def _check_times(answers):
    tolerances = answers.tolerances
    half = tolerances.log_retention_hours * MINUTES_PER_HOUR // 2
    if tolerances.key_life_minutes > half:
        yield (
            ('tolerances', 'key_life_minutes'),
            'a key must not live longer than half of the log retention',
            f'at most {half}',
        )
    longest = max(
        [service.answer_seconds for service in answers.services]
        + [trainer.sample_seconds for trainer in answers.trainers]
    )
    if tolerances.drain_seconds < longest:
        yield (
            ('tolerances', 'drain_seconds'),
            f'a planned stop would cut off work that may take {longest} s',
            f'at least {longest}',
        )
