"""The tables: which policies are compared under which scenarios."""

import msgspec

from auburnroad_core.settings import deployment
from auburnroad_e2e.bench import plan

BUILT = deployment.Policies()
BASELINES = deployment.Policies('random', 'fifo', 'all', 'never')
# Another order each time, the built policy's rows last in print.
ROUTINGS = (
    'random',
    'round-robin',
    'least-outstanding',
    'two-choices',
    'affinity',
)


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


@plan.TABLES.register('routing')
def build_routing(seed: int) -> list[plan.Session]:
    """Routing on Kiadási, calm and with a straggling engine."""
    phases = _build_phases(_vary('routing', ROUTINGS), ('calm', 'straggler'))
    return [
        plan.Session('routing', 'kiadasi', seed, plan.rotate(phases, seed))
    ]
