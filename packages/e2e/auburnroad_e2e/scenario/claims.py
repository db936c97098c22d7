"""Claims that a scenario checks, against the books of users and targets."""

from auburnroad_e2e import book_files
from auburnroad_e2e import book_types
from auburnroad_e2e import books
from auburnroad_e2e import caller_books
from auburnroad_e2e.scenario import conditions
from auburnroad_e2e.scenario import script
from auburnroad_e2e.scenario import world as worlds

World = worlds.World

# "A few seconds" of the brief: work that was on its way may still begin.
LEAVING_MS = 3000
SHOWN = 3
CONFLICT_STATUS = 3


@worlds.STEPS.register('check')
async def check(world: World, phrase: script.Phrase) -> None:
    """Check a claim; a scenario whose claim is wrong fails."""
    await worlds.CLAIMS.get(phrase.name)(world, *phrase.arguments)


def _claim(holds: bool, message: str) -> None:
    if not holds:
        raise worlds.ScenarioError(message)


@worlds.CLAIMS.register('no_problem')
async def check_no_problem(world: World, excused) -> None:
    """Check all books, once the users have ended."""
    await world.end_users()
    addresses = set(world.excused)
    if excused is not None:
        addresses.add(world.cluster.address(await world.find(excused)))
    found = books.list_problems(
        await book_files.read_all(world.cluster), frozenset(addresses)
    )
    shown = '; '.join(found[:SHOWN])
    _claim(not found, f'{len(found)} broken promises: {shown}')


@worlds.CLAIMS.register('one_refused')
async def check_one_refused(world: World) -> None:
    """Check that of operators who raced one was let through."""
    statuses = sorted(world.statuses.values())
    expected = [0] + [CONFLICT_STATUS] * (len(statuses) - 1)
    _claim(statuses == expected, f'operators ended with {world.statuses}')


@worlds.CLAIMS.register('left_in_order')
async def check_left_in_order(world: World, process) -> None:
    """Check that a process left by itself and without an error."""
    name = await world.find(process)
    status = world.cluster.processes[name].status
    _claim(status == 0, f'{name} has status {status}')


@worlds.CLAIMS.register('no_new_work')
async def check_no_new_work(world: World, process) -> None:
    """Check the targets of a host for work that began after it left."""
    name = await world.find(process)
    until = world.left_at_ms[name] + LEAVING_MS
    settings = next(d for d in world.cluster.daemons if d.name == name)
    replicas = {replica.name for replica in settings.replicas}
    all_books = book_files.read_books(world.cluster)
    runs = [*all_books.engine_runs, *all_books.plain_runs]
    late = [
        run.request_id
        for run in runs
        if run.replica in replicas and run.at_ms > until
    ]
    _claim(not late, f'{name} got {len(late)} requests: {late[:SHOWN]}')


@worlds.CLAIMS.register('told')
async def check_told(world: World, kind: str, outcome: str) -> None:
    """Check that requests of a kind were told an outcome."""
    tries = _list_tries(world, kind)
    told = [one for one in tries if one['outcome'] == outcome]
    _claim(bool(told), f'no {kind} was told {outcome}')


@worlds.CLAIMS.register('not_told')
async def check_not_told(world: World, outcome: str) -> None:
    """Check that no request of any kind was told an outcome."""
    events = book_files.read_books(world.cluster).callers
    told = [
        event['id']
        for event, one in caller_books.list_tries(events)
        if one['outcome'] == outcome
    ]
    _claim(not told, f'{len(told)} were told {outcome}: {told[:SHOWN]}')


@worlds.CLAIMS.register('right_answers')
async def check_right_answers(world: World, count: int, kind: str) -> None:
    """Check that enough requests of a kind were answered rightly."""
    right = sum(one['right'] for one in _list_tries(world, kind))
    _claim(right >= count, f'{kind} had {right} right answers')


def _list_tries(world: World, kind: str) -> list[book_types.Event]:
    events = book_files.read_books(world.cluster).callers
    return [
        one
        for event, one in caller_books.list_tries(events)
        if event['kind'] == kind
    ]


@worlds.CLAIMS.register('no_cut_question')
async def check_no_cut_question(world: World) -> None:
    """Check that no connection broke on which a trainer waited."""
    trainers = book_files.read_books(world.cluster).trainers
    found = books.find_cut_questions(trainers, frozenset())
    _claim(not found, f'{len(found)} cut off: {found[:SHOWN]}')


@worlds.CLAIMS.register('still_in_force')
async def check_still_in_force(world: World) -> None:
    """Check that no daemon has an earlier configuration."""
    _claim(
        await conditions.is_in_force(world, None),
        f'a daemon is below revision {world.revision}',
    )
