"""Counters, gauges and histograms of a gateway.

Label sets are bounded: labels are kinds, outcomes and reasons defined in the
code, never ids or names of configured routes.
"""

import prometheus_client

from auburnroad_core import clock
from auburnroad_core.http import connections
from auburnroad_core.http import messages

REGISTRY = prometheus_client.CollectorRegistry()
REGISTRY.register(connections.BYTES)

# From a fast answer of a plain service to the longest run of a batch item.
SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8, 16)

EVENTS = prometheus_client.Counter(
    'auburnroad_events',
    'Log lines by event, written or dropped.',
    ['event'],
    registry=REGISTRY,
)
LINES_DROPPED = prometheus_client.Counter(
    'auburnroad_log_lines_dropped',
    'Log lines that were not written, to bound their volume.',
    registry=REGISTRY,
)
INVALID_RECORDS = prometheus_client.Counter(
    'auburnroad_invalid_records',
    'Records of the log that were skipped, as they could not be applied.',
    ['topic'],
    registry=REGISTRY,
)
REQUESTS = prometheus_client.Counter(
    'auburnroad_requests',
    'Requests of callers answered, by kind of route and class of status.',
    ['kind', 'status'],
    registry=REGISTRY,
)
REQUEST_SECONDS = prometheus_client.Histogram(
    'auburnroad_request_seconds',
    'Time from the whole request to the head of its answer.',
    ['kind'],
    buckets=SECONDS_BUCKETS,
    registry=REGISTRY,
)
ATTEMPTS = prometheus_client.Counter(
    'auburnroad_attempts',
    'Attempts of single requests at replicas, by how they ended.',
    ['end'],
    registry=REGISTRY,
)
PERMITS = prometheus_client.Counter(
    'auburnroad_permits',
    'Calls for permits of replicas that limit their rate, by their outcome.',
    ['outcome'],
    registry=REGISTRY,
)
ACCESS = prometheus_client.Counter(
    'auburnroad_access',
    'Decisions on the API keys of callers, by outcome.',
    ['outcome'],
    registry=REGISTRY,
)
DUTY_CALLS = prometheus_client.Counter(
    'auburnroad_duty_calls',
    "Calls of duties at the platform's API, by duty and outcome.",
    ['duty', 'outcome'],
    registry=REGISTRY,
)
USAGE_WINDOWS = prometheus_client.Counter(
    'auburnroad_usage_windows',
    'Windows of the usage report, by what became of their report.',
    ['outcome'],
    registry=REGISTRY,
)
FAIR_QUEUE = prometheus_client.Counter(
    'auburnroad_fair_queue',
    'Single requests that found all replicas full, by what became of them.',
    ['outcome'],
    registry=REGISTRY,
)
SCALE_ORDERS = prometheus_client.Counter(
    'auburnroad_scale_orders',
    'Orders of numbers of replicas, by whether these rise, fall or stay.',
    ['change'],
    registry=REGISTRY,
)
REQUESTS_QUARANTINED = prometheus_client.Counter(
    'auburnroad_requests_quarantined',
    'Requests refused because they crash the replicas that run them.',
    registry=REGISTRY,
)
RUNS_BROKEN = prometheus_client.Counter(
    'auburnroad_runs_broken',
    'Runs of single requests that broke off, by what became of the replica.',
    ['replica'],
    registry=REGISTRY,
)
RUNS = prometheus_client.Counter(
    'auburnroad_item_runs',
    'Attempts of batch items at replicas, by how they ended.',
    ['end'],
    registry=REGISTRY,
)
RUN_SECONDS = prometheus_client.Histogram(
    'auburnroad_item_run_seconds',
    'Time of attempts that finished their item.',
    buckets=SECONDS_BUCKETS,
    registry=REGISTRY,
)
ITEMS_WAITING = prometheus_client.Gauge(
    'auburnroad_items_waiting',
    'Items of own batches that wait for a slot.',
    registry=REGISTRY,
)
ITEMS_WAITING_FOR_SCORE = prometheus_client.Gauge(
    'auburnroad_items_waiting_for_score',
    'Items of own batches with a complete text and without a score.',
    registry=REGISTRY,
)
REWARD_CALLS_IN_FLIGHT = prometheus_client.Gauge(
    'auburnroad_reward_calls_in_flight',
    'Reward calls that were sent and not answered.',
    registry=REGISTRY,
)
REWARD_CALLS = prometheus_client.Counter(
    'auburnroad_reward_calls',
    'Reward calls, by class of the status of their answer.',
    ['status'],
    registry=REGISTRY,
)
REWARD_CALL_SECONDS = prometheus_client.Histogram(
    'auburnroad_reward_call_seconds',
    'Time of a reward call with all its attempts.',
    buckets=SECONDS_BUCKETS,
    registry=REGISTRY,
)
APPEND_SECONDS = prometheus_client.Histogram(
    'auburnroad_log_append_seconds',
    'Time until a group of records was in the log.',
    buckets=SECONDS_BUCKETS,
    registry=REGISTRY,
)
TAIL_AGE = prometheus_client.Gauge(
    'auburnroad_log_tail_age_seconds',
    'Time since all records of a topic were known to be read.',
    ['topic'],
    registry=REGISTRY,
)


def watch_tail(topic: str, tail) -> None:
    """Report the age of a topic's tail in the metrics.

    Args:
      topic: Name of the topic.
      tail: Tail of the topic; its age is computed at each scrape.
    """

    def find_age() -> float:
        return clock.read_boot_clock_seconds() - tail.complete_at

    TAIL_AGE.labels(topic).set_function(find_age)


def build_page() -> messages.Response:
    """Build the response to a Prometheus scrape.

    Returns:
      All metrics in the text exposition format.
    """
    return messages.Response(
        200,
        {'content-type': prometheus_client.CONTENT_TYPE_LATEST},
        prometheus_client.generate_latest(REGISTRY),
    )
