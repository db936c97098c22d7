"""Which process or link a phrase speaks of.

The system's own status only aims a fault; no verdict rests on it.
"""

from auburnroad_e2e.launch import commands
from auburnroad_e2e.launch import relay
from auburnroad_e2e.scenario import script
from auburnroad_e2e.scenario import world as worlds

World = worlds.World


@worlds.REFERENCES.register('named')
async def find_named(world: World, name: str) -> str:
    """Find a process by its own name."""
    if name not in world.cluster.processes:
        raise worlds.ScenarioError(f'there is no process {name}')
    return name


@worlds.REFERENCES.register('log_service')
async def find_log_service(world: World) -> str:
    """Find the log service."""
    return commands.LOG_SERVICE


@worlds.REFERENCES.register('weight_store')
async def find_weight_store(world: World) -> str:
    """Find the weight store."""
    return commands.WEIGHT_STORE


@worlds.REFERENCES.register('host_list')
async def find_host_list(world: World) -> str:
    """Find the host list."""
    return commands.HOST_LIST


@worlds.REFERENCES.register('owner')
async def find_owner(world: World, trainer: str) -> str:
    """Find the entry that owns a trainer."""
    return (await _find_ownership(world, trainer))[1]


@worlds.REFERENCES.register('other_entry')
async def find_other_entry(world: World, trainer: str) -> str:
    """Choose an entry that doesn't own a trainer."""
    owner = await find_owner(world, trainer)
    others = [
        name
        for name in worlds.list_daemons(world, 'entry')
        if name != owner and world.cluster.processes[name].responsive
    ]
    return world.random.choice(others)


@worlds.REFERENCES.register('holder')
async def find_holder(world: World, trainer: str) -> str:
    """Find the entry that holds the copy of a trainer's ledger."""
    return (await _find_ownership(world, trainer))[2]


async def _find_ownership(world: World, trainer: str):
    """Find the newest claim, its owner and the holder of the copy."""
    found = []
    for name in worlds.list_daemons(world, 'entry'):
        status = await world.ask_status(name)
        for owned in status.get('trainers', []):
            if owned['trainer'] == trainer:
                found.append((owned['claim'], name, owned['copy']))
    if not found:
        raise worlds.ScenarioError(f'no entry owns {trainer}')
    return max(found)


async def find_relay(world: World, link: script.Phrase) -> relay.Relay:
    """Find the relay that carries a link.

    Args:
      world: The scenario.
      link: A link of the grammar.

    Returns:
      The relay.
    """
    name = await world.find(link.arguments[0])
    return world.cluster.relays[worlds.LINKS.get(link.name)(name)]


@worlds.LINKS.register('streams')
def name_streams(name: str) -> str:
    """Name the relay of a daemon's streams."""
    return name


@worlds.LINKS.register('log_link')
def name_log_link(name: str) -> str:
    """Name the relay between a daemon and the log service."""
    return f'{name}/log'
