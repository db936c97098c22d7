"""The session of an operator: from the answers to a change and a drain."""

import msgspec

from auburnroad_e2e.sessions import transcript


@transcript.SESSIONS.register('operator')
async def run(session: transcript.Transcript) -> None:
    """Check, publish, look, and drain a host.

    Args:
      session: Where it is written down.
    """
    cluster = session.cluster
    known = f'--answers={cluster.answers_path}'
    changed = cluster.directory / 'answers-changed.json'
    changed.write_bytes(_build_change(cluster.answers))
    await session.run_client('check', f'--file={cluster.answers_path}')
    await session.run_client('diff', f'--file={changed}')
    await session.run_client('publish', f'--file={changed}', '--author=anna')
    await session.run_client('wait', '--revision=1', known)
    stale = ('publish', f'--file={cluster.answers_path}', '--base=0')
    await session.run_client(*stale, '--author=bela')
    await session.run_client('audit', known)
    host = cluster.answers.places.target_hosts[0].name
    for command in ('drain', 'undrain', 'drain'):
        order = (command, f'--host={host}', '--author=anna', known)
        await session.run_client(*order)
    await session.run_client('explain', '--id=nothing', known)
    wrong = cluster.directory / 'answers-wrong.json'
    wrong.write_bytes(b'{"deployment": "Big", "weighs_more": "nothing"}')
    await session.run_client('check', f'--file={wrong}')
    await session.run_client('hug')


def _build_change(answers) -> bytes:
    trainers = [
        msgspec.structs.replace(trainer, tolerated_staleness=3)
        for trainer in answers.trainers
    ]
    return msgspec.json.encode(
        msgspec.structs.replace(answers, trainers=trainers)
    )
