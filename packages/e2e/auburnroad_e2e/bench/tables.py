"""The tables: which policies are compared under which scenarios."""

import msgspec

from auburnroad_core.settings import deployment
from auburnroad_e2e.bench import bounds
from auburnroad_e2e.bench import plan

BUILT = deployment.Policies()
SIMPLEST = deployment.Policies('random', 'fifo', 'all', 'never')
ROUTINGS = (
    'random',
    'round-robin',
    'least-outstanding',
    'two-choices',
    'affinity',
)
HEDGINGS = ('never', 'age', 'tail')
SWAPPINGS = ('all', 'rolling')
ORDERINGS = ('fifo', 'fair')
# The order in which tables are measured and printed.
NAMES = (
    'routing',
    'hedging',
    'swapping',
    'ordering',
    'overload',
    'scenarios',
)
# A version every second or so, whose load stops an engine for long.
SWAP_LOAD = plan.Load(sample_tokens=16, swap_ms=100.0)
CALL_LOAD = plan.Load(call_tokens=48)
# The engines' queues are short, so that callers within reach fill them.
OVERLOAD_QUEUE = 8


def _build_phases(rows, scenarios, **members) -> list[plan.Phase]:
    return [
        plan.Phase(name, scenario, policies, **members)
        for scenario in scenarios
        for name, policies in rows.items()
    ]


def _vary(member: str, names) -> dict[str, deployment.Policies]:
    """Vary one decision and keep the others as they are built."""
    return {
        name: msgspec.structs.replace(BUILT, **{member: name})
        for name in names
    }


def _add_rates(phases: list[plan.Phase], load: plan.Load) -> list[plan.Phase]:
    return [
        msgspec.structs.replace(phase, rate=load.calls_per_second)
        if phase.scenario in ('burst', 'unloaded')
        else phase
        for phase in phases
    ]


@plan.TABLES.register('routing')
def build_routing(seed: int) -> list[plan.Session]:
    """Which host a sample goes to."""
    phases = _build_phases(_vary('routing', ROUTINGS), ('calm', 'straggler'))
    return [
        plan.Session('routing', 'kiadasi', seed, plan.shuffle(phases, seed))
    ]


@plan.TABLES.register('hedging')
def build_hedging(seed: int) -> list[plan.Session]:
    """When a late sample gets a second attempt."""
    phases = _build_phases(
        _vary('hedging', HEDGINGS), ('straggler', 'engine-dies')
    )
    return [
        plan.Session('hedging', 'kiadasi', seed, plan.shuffle(phases, seed))
    ]


@plan.TABLES.register('swapping')
def build_swapping(seed: int) -> list[plan.Session]:
    """Which engines of a host load new weights at a time."""
    phases = _build_phases(_vary('swapping', SWAPPINGS), ('swaps',), steps=6)
    return [
        plan.Session(
            'swapping', name, seed, plan.shuffle(phases, seed), SWAP_LOAD
        )
        for name in ('kiadasi', 'kehys')
    ]


@plan.TABLES.register('ordering')
def build_ordering(seed: int) -> list[plan.Session]:
    """Which request a free slot goes to, with two trainers."""
    load = plan.Load()
    rows = _vary('ordering', ORDERINGS)
    phases = plan.shuffle(_build_phases(rows, ('calm', 'burst')), seed)
    unloaded = plan.Phase('fair', plan.UNLOADED, BUILT)
    return [
        plan.Session(
            'ordering',
            'kiadasi',
            seed,
            _add_rates([unloaded, *phases], load),
            load,
            second_trainer=True,
        )
    ]


@plan.TABLES.register('overload')
def build_overload(seed: int) -> list[plan.Session]:
    """Good answers a second at the engines' capacity and at twice that."""
    slots = 8
    engines = 6
    speed = engines * bounds.compute_engine_speed(CALL_LOAD, slots)
    rate = round(speed * 1000.0 / CALL_LOAD.call_tokens, 1)
    phases = [
        plan.Phase(name, scenario, policies, rate=factor * rate)
        for scenario, factor in (('capacity', 1.0), ('twice', 2.0))
        for name, policies in _vary('routing', ('random', 'affinity')).items()
    ]
    return [
        plan.Session(
            'overload',
            'kiadasi',
            seed,
            phases,
            CALL_LOAD,
            queue=OVERLOAD_QUEUE,
        )
    ]


@plan.TABLES.register('scenarios')
def build_scenarios(seed: int) -> list[plan.Session]:
    """All built policies against the simplest ones."""
    rows = {'simplest': SIMPLEST, 'built': BUILT}
    chosen = {
        'kiadasi': ('calm', 'engine-dies', 'straggler', 'log-outage', 'burst'),
        'kehys': ('calm', 'engine-dies', 'burst'),
    }
    load = plan.Load()
    unloaded = plan.Phase('built', plan.UNLOADED, BUILT)
    return [
        plan.Session(
            'scenarios',
            name,
            seed,
            _add_rates(
                [
                    unloaded,
                    *plan.shuffle(_build_phases(rows, scenarios), seed),
                ],
                load,
            ),
            load,
        )
        for name, scenarios in chosen.items()
    ]
