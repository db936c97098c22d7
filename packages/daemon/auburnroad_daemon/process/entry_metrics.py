"""Counters and gauges of the entry role.

Requests are counted in metrics rather than logged: log lines are written only
for changes of state.
"""

import prometheus_client

from auburnroad_core.http import connections
from auburnroad_core.log import counters
from auburnroad_core.wire import stream

REGISTRY = prometheus_client.CollectorRegistry()

CALLS = prometheus_client.Counter(
    'auburnroad_calls', 'Calls begun.', ['service'], registry=REGISTRY
)
OUTCOMES = prometheus_client.Counter(
    'auburnroad_outcomes',
    'Calls ended, by outcome.',
    ['service', 'outcome'],
    registry=REGISTRY,
)
RETRIES = prometheus_client.Counter(
    'auburnroad_retries',
    'Attempts after the first.',
    ['service'],
    registry=REGISTRY,
)
REFUSALS = prometheus_client.Counter(
    'auburnroad_refusals',
    'Requests refused, by code.',
    ['code'],
    registry=REGISTRY,
)
CONFIGURATIONS = prometheus_client.Counter(
    'auburnroad_configurations',
    'Configurations put in force, by where they came from.',
    ['origin'],
    registry=REGISTRY,
)
REVISION = prometheus_client.Gauge(
    'auburnroad_configuration_revision',
    'Revision of the configuration in force.',
    registry=REGISTRY,
)
HOST_ORDERS = prometheus_client.Counter(
    'auburnroad_host_orders',
    'Hosts that came to drain, or were taken back, by an operator.',
    registry=REGISTRY,
)
INTENTS = prometheus_client.Counter(
    'auburnroad_intents',
    'Non-idempotent requests that asked for their key, by the answer.',
    ['admission'],
    registry=REGISTRY,
)
CLAIMS = prometheus_client.Counter(
    'auburnroad_claims',
    'Claims on trainers, by verdict.',
    ['verdict'],
    registry=REGISTRY,
)
SEALS = prometheus_client.Counter(
    'auburnroad_seals',
    'Seals of steps, by verdict.',
    ['verdict'],
    registry=REGISTRY,
)
SAMPLES = prometheus_client.Counter(
    'auburnroad_samples',
    'Samples, by what became of them.',
    ['fate'],
    registry=REGISTRY,
)
SINGLE_COPIES = prometheus_client.Counter(
    'auburnroad_single_copies',
    'Ledger changes that only one daemon holds, for want of another.',
    registry=REGISTRY,
)
REGISTRY.register(stream.BYTES)
REGISTRY.register(connections.BYTES)
for _collector in counters.COLLECTORS:
    REGISTRY.register(_collector)
