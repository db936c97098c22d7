"""Moves a deployment's answers to loopback: each host its own IP number.

The answers that ship with the project name the users' networks. For a run on
one machine every host gets a number of 127.A.B.0/24, so that addresses and
failure domains stay as far apart as they are in the answers.
"""

import os
import random
import socket

import msgspec

from auburnroad_client.questionnaire import answers as answer_types

LOCK_PORT = 7399
LOG_PORT = 7401
STORE_PORT = 7402
HOST_LIST_PORT = 7403
REPLICA_PORT = 8001
RELAY_OFFSET = 20
LOG_RELAY_PORT = 7330
PLATFORM_HOST = 1
ENTRY_HOST = 11
TARGET_HOST = 51
ATTEMPTS = 50


class Network:
    """A /24 of loopback that no other run on this machine uses."""

    __slots__ = ('prefix', '_lock')

    def __init__(self):
        rng = random.Random(os.getpid())
        for _ in range(ATTEMPTS):
            prefix = f'127.{rng.randrange(20, 250)}.{rng.randrange(250)}'
            lock = socket.socket()
            try:
                lock.bind((f'{prefix}.254', LOCK_PORT))
            except OSError:
                lock.close()
                continue
            self.prefix = prefix
            self._lock = lock
            return
        raise OSError('no free network on loopback')

    def close(self) -> None:
        """Let others use the network."""
        self._lock.close()


def localise(
    answers: answer_types.Answers, prefix: str
) -> answer_types.Answers:
    """Give every host an IP number of one network.

    Args:
      answers: The answers as they ship.
      prefix: The first three numbers of the network.

    Returns:
      The same answers with other addresses.
    """
    platform = f'{prefix}.{PLATFORM_HOST}'
    return msgspec.structs.replace(
        answers,
        platform=answer_types.Platform(
            f'{platform}:{LOG_PORT}',
            f'{platform}:{HOST_LIST_PORT}',
            f'{platform}:{STORE_PORT}',
        ),
        places=msgspec.structs.replace(
            answers.places,
            entry_hosts=[
                msgspec.structs.replace(host, ip=f'{prefix}.{number}')
                for number, host in enumerate(
                    answers.places.entry_hosts, ENTRY_HOST
                )
            ],
            target_hosts=[
                _localise_target(host, f'{prefix}.{number}')
                for number, host in enumerate(
                    answers.places.target_hosts, TARGET_HOST
                )
            ],
        ),
    )


def _localise_target(host, ip: str) -> answer_types.TargetHost:
    replicas = [
        msgspec.structs.replace(replica, address=f'{ip}:{port}')
        for port, replica in enumerate(host.replicas, REPLICA_PORT)
    ]
    return msgspec.structs.replace(host, ip=ip, replicas=replicas)


def relay_address(address: str) -> str:
    """Tell where the relay in front of an address listens.

    Args:
      address: 'IP number:port'.

    Returns:
      The relay's address on the same IP number.
    """
    host, _, port = address.rpartition(':')
    return f'{host}:{int(port) + RELAY_OFFSET}'
