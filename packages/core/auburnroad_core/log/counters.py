"""Prometheus counters of log appends and folds.

The counters are created without a registry; each process registers
COLLECTORS with the registry that it exports.
"""

import prometheus_client

APPENDS = prometheus_client.Counter(
    'auburnroad_log_appends',
    'Appends sent to the log service, by how they ended.',
    ['stream', 'end'],
    registry=None,
)
RECORDS = prometheus_client.Counter(
    'auburnroad_log_records',
    'Records sent to the log service, copies included.',
    ['stream'],
    registry=None,
)
VERDICTS = prometheus_client.Counter(
    'auburnroad_log_verdicts',
    'Records read and folded in, by what they did.',
    ['stream', 'verdict'],
    registry=None,
)
COLLECTORS = (APPENDS, RECORDS, VERDICTS)
