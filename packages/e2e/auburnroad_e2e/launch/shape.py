"""Small shapes of the users' deployments.

The answers ship at their full size; a run on one machine keeps the failure
domains, services and trainers and takes fewer replicas and smaller steps.
"""

import importlib.resources

import msgspec

from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_core.settings import check

SMALL_GROUPS = 4
SMALL_SAMPLES = 2
SMALL_ANSWER_SECONDS = 20
SMALL_SAMPLE_SECONDS = 20
SMALL_DRAIN_SECONDS = 25


def load_answers(name: str) -> answer_types.Answers:
    """Read a deployment's answers as they ship.

    Args:
      name: Deployment's name.

    Returns:
      The answers.

    Raises:
      InvalidInputError: With every mistake of the file.
    """
    package = importlib.resources.files('auburnroad_client')
    with importlib.resources.as_file(
        package / 'deployments' / f'{name}.jsonc'
    ) as path:
        return check.load_file(str(path), answer_types.Answers)


def shrink(
    answers: answer_types.Answers, replicas_per_service: int = 1
) -> answer_types.Answers:
    """Keep a deployment's shape and make it small.

    Args:
      answers: The answers as they ship.
      replicas_per_service: Replicas of a service on one host at most.

    Returns:
      The same answers with fewer replicas and smaller steps.
    """
    hosts = [
        msgspec.structs.replace(
            host, replicas=_keep_replicas(host.replicas, replicas_per_service)
        )
        for host in answers.places.target_hosts
    ]
    trainers = [
        msgspec.structs.replace(
            trainer,
            groups_per_step=SMALL_GROUPS,
            samples_per_group=SMALL_SAMPLES,
            late_groups=min(trainer.late_groups, 1),
            sample_seconds=SMALL_SAMPLE_SECONDS,
        )
        for trainer in answers.trainers
    ]
    services = [
        msgspec.structs.replace(
            service,
            answer_seconds=min(service.answer_seconds, SMALL_ANSWER_SECONDS),
        )
        for service in answers.services
    ]
    return msgspec.structs.replace(
        answers,
        services=services,
        places=msgspec.structs.replace(answers.places, target_hosts=hosts),
        trainers=trainers,
        tolerances=msgspec.structs.replace(
            answers.tolerances, drain_seconds=SMALL_DRAIN_SECONDS
        ),
    )


def _keep_replicas(replicas, limit: int) -> list[answer_types.Replica]:
    kept = []
    for replica in replicas:
        same = [other for other in kept if other.service == replica.service]
        if len(same) < limit:
            kept.append(replica)
    return kept
