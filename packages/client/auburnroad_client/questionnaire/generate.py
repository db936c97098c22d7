"""Generates the configuration and the settings of daemons from answers.

The functions are pure: the same answers always yield the same result, so that
another operator can reproduce what was published.
"""

import math

from auburnroad_client.questionnaire import answer_checks
from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_core.settings import daemon
from auburnroad_core.settings import deployment

MS_PER_SECOND = 1000
MS_PER_MINUTE = 60 * MS_PER_SECOND
MS_PER_HOUR = 60 * MS_PER_MINUTE
PERCENT = 100

# A hedged attempt costs engine time and saves trainer time. It starts sooner
# if idle trainers cost the operator more.
HEDGE_DIVISORS = {'trainer-idle-time': 4, 'staleness': 2}


def build_deployment(
    answers: answer_types.Answers,
) -> deployment.Deployment:
    """Build the configuration to publish.

    Args:
      answers: Checked answers.

    Returns:
      The configuration.
    """
    return deployment.Deployment(
        name=answers.deployment,
        failure_domains=answer_checks.list_failure_domains(answers),
        services=[_build_service(service) for service in answers.services],
        trainers=[
            _build_trainer(trainer, answers.weighs_more)
            for trainer in answers.trainers
        ],
        limits=_build_limits(answers.tolerances),
    )


def _build_service(service: answer_types.Service) -> deployment.Service:
    return deployment.Service(
        name=service.name,
        kind=service.kind,
        slots_per_replica=service.slots,
        queue_per_replica=service.waiting,
        idempotent_methods=tuple(service.idempotent_methods),
        checks_fencing=service.checks_fencing,
        moves_kv_cache=service.moves_kv_cache,
        call_timeout_ms=service.answer_seconds * MS_PER_SECOND,
    )


def _build_trainer(
    trainer: answer_types.Trainer, weighs_more: str
) -> deployment.Trainer:
    sample_ms = trainer.sample_seconds * MS_PER_SECOND
    return deployment.Trainer(
        name=trainer.name,
        service=trainer.service,
        model=trainer.model,
        staleness_bound=trainer.tolerated_staleness,
        groups_per_step=trainer.groups_per_step,
        samples_per_group=trainer.samples_per_group,
        group_fraction=build_group_fraction(
            trainer.groups_per_step, trainer.late_groups
        ),
        share=trainer.share,
        sample_timeout_ms=sample_ms,
        hedge_after_ms=sample_ms // HEDGE_DIVISORS[weighs_more],
    )


def build_group_fraction(groups: int, late_groups: int) -> float:
    """Build the share of groups that a step waits for.

    Its product with the number of groups must round up to exactly the number
    to wait for. 7 / 25 has to be lowered slightly, since 25 * (7 / 25) is
    above 7 in floating point.

    Args:
      groups: Number of groups in a step.
      late_groups: Number of these that may be late.

    Returns:
      The share, above 0 and at most 1.
    """
    wanted = groups - late_groups
    share = wanted / groups
    while math.ceil(groups * share) > wanted:
        share = math.nextafter(share, 0.0)
    return share


def _build_limits(tolerances: answer_types.Tolerances) -> deployment.Limits:
    return deployment.Limits(
        key_life_ms=tolerances.key_life_minutes * MS_PER_MINUTE,
        retention_ms=tolerances.log_retention_hours * MS_PER_HOUR,
        drain_ms=tolerances.drain_seconds * MS_PER_SECOND,
        interactive_share=tolerances.caller_percent / PERCENT,
    )


def build_daemons(answers: answer_types.Answers) -> list[daemon.Daemon]:
    """Build the settings of every daemon, one for each host.

    Args:
      answers: Checked answers.

    Returns:
      Settings of the entries, then of the sides, in the answers' order.
    """
    places = answers.places
    return [
        _build_daemon(answers, host, 'entry') for host in places.entry_hosts
    ] + [_build_daemon(answers, host, 'side') for host in places.target_hosts]


def _build_daemon(answers, host, role: str) -> daemon.Daemon:
    peers = [
        f'{entry.ip}:{entry.stream_port}'
        for entry in answers.places.entry_hosts
        if entry.name != host.name
    ]
    return daemon.Daemon(
        name=host.name,
        role=role,
        host=host.name,
        failure_domain=host.failure_domain,
        stream_address=f'{host.ip}:{host.stream_port}',
        http_address=f'{host.ip}:{host.http_port}',
        log_service=answers.platform.log_service,
        host_list=answers.platform.host_list,
        weight_store=answers.platform.weight_store,
        peers=peers,
        replicas=_build_replicas(host) if role == 'side' else [],
    )


def _build_replicas(host: answer_types.TargetHost) -> list[daemon.Replica]:
    return [
        daemon.Replica(replica.name, replica.service, replica.address)
        for replica in host.replicas
    ]
