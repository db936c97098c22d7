"""Counters, gauges and histograms of the side role."""

import prometheus_client

from auburnroad_core.http import connections
from auburnroad_core.wire import stream

RUN_BUCKETS_SECONDS = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0)


class SideMetrics:
    """Metrics of one side, in a registry of its own."""

    __slots__ = (
        'registry',
        'submitted',
        'refused',
        'done',
        'tokens',
        'chunks',
        'run_seconds',
        'running',
        'waiting',
        'ready_replicas',
        'ejections',
        'streams',
        'hostile_frames',
        'resumed',
        'orders',
        'weight_bytes',
        'revision',
    )

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.registry.register(stream.BYTES)
        self.registry.register(connections.BYTES)
        self.submitted = self._counter(
            'submitted', 'Requests received', 'service'
        )
        self.refused = self._counter(
            'refused', 'Requests refused as not run', 'service', 'code'
        )
        self.done = self._counter(
            'done', 'Requests answered', 'service', 'outcome'
        )
        self.tokens = self._counter('tokens', 'Tokens received from engines')
        self.chunks = self._counter('chunks', 'Chunks sent to entries')
        self.run_seconds = prometheus_client.Histogram(
            'auburnroad_side_run_seconds',
            'Time of a run on a replica',
            ['service'],
            registry=self.registry,
            buckets=RUN_BUCKETS_SECONDS,
        )
        self.running = self._gauge('running', 'Requests running', 'service')
        self.waiting = self._gauge('waiting', 'Requests waiting', 'service')
        self.ready_replicas = self._gauge(
            'ready_replicas', 'Replicas that take work', 'service'
        )
        self.ejections = self._counter(
            'ejections', 'Replicas taken out of service', 'replica'
        )
        self.streams = self._gauge('streams', 'Streams from entries')
        self.hostile_frames = self._counter(
            'hostile_frames', 'Streams closed for bytes that are no message'
        )
        self.resumed = self._counter(
            'resumed', 'Requests asked about over a new stream', 'result'
        )
        self.orders = self._counter(
            'orders', 'Orders to engines', 'model', 'result'
        )
        self.weight_bytes = self._counter(
            'weight_bytes', 'Bytes of weights fetched', 'source'
        )
        self.revision = self._gauge('revision', 'Configuration in force')

    def _counter(self, name: str, description: str, *labels: str):
        return prometheus_client.Counter(
            f'auburnroad_side_{name}',
            description,
            labels,
            registry=self.registry,
        )

    def _gauge(self, name: str, description: str, *labels: str):
        return prometheus_client.Gauge(
            f'auburnroad_side_{name}',
            description,
            labels,
            registry=self.registry,
        )
