"""Minimal platform adapter for tests of the gateway.

Metadata are plain HTTP headers and records are JSON. See
auburnroad_gateway.adapter.Adapter for the meaning of each method.
"""

import msgspec

from auburnroad_core.http import messages
from auburnroad_gateway import adapter
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.model import registration


class PlainAdapter:
    """Implements adapter.Adapter."""

    operator_topic = 'keyed.operators'
    replica_topic = 'keyed.replicas'

    def decode_operator_record(self, record):
        """Decode '#MODEL' as a named version, other keys as configuration."""
        try:
            if record.key.startswith('#'):
                return record.key[1:], int(record.value)
            return msgspec.json.decode(
                record.value, type=configuration.Configuration
            )
        except (msgspec.DecodeError, ValueError) as error:
            raise adapter.InvalidMessageError(str(error)) from error

    def decode_registration(self, record):
        """Decode a registration."""
        try:
            return msgspec.json.decode(
                record.value, type=registration.Registration
            )
        except msgspec.DecodeError as error:
            raise adapter.InvalidMessageError(str(error)) from error

    def decode_call(self, headers):
        """Decode the headers 'id', 'patience', 'after', 'resumes', 'key'."""
        patience = headers.get('patience')
        after = headers.get('after')
        return call.CallHead(
            headers.get('id', ''),
            int(patience) if patience else None,
            int(after) if after else None,
            headers.get('resumes', ''),
            headers.get('key'),
        )

    def build_attempt_headers(
        self, headers, replica_id, remaining_ms, last_event_id, account
    ):
        """Build headers that contain all arguments."""
        built = {**headers, 'replica': replica_id}
        if account is not None:
            built.pop('key', None)
            built.pop('account', None)
            if account:
                built['account'] = account
        if last_event_id is not None:
            built['after'] = str(last_event_id)
        if remaining_ms is not None:
            built['patience'] = str(remaining_ms)
        return built

    def has_version_condition(self, headers):
        """Tell whether there is a header 'wants-version'."""
        return 'wants-version' in headers

    def build_item_headers(self, item, host):
        """Build headers with the item's id."""
        return {**item.headers, 'host': host, 'id': item.id}

    def build_reward_headers(self, reward):
        """Build headers with the id of the reward call."""
        return {'host': reward.host, 'id': reward.id}

    def decode_response_head(self, headers):
        """Decode 'id', 'signed', 'not-run', 'version', 'leaving', 'limit'."""
        version = headers.get('version')
        limit = headers.get('limit')
        return call.AnswerHead(
            headers.get('id', ''),
            headers.get('signed', ''),
            'not-run' in headers,
            None,
            int(version) if version else None,
            leaving='leaving' in headers,
            rate_limit=float(limit) if limit else None,
        )

    def split_event_version(self, data):
        """Split a first line 'version:N' from an event's data."""
        if not data.startswith('version:'):
            return None, data
        line, _, rest = data.partition('\n')
        return int(line.removeprefix('version:')), rest

    def decode_submission(self, request):
        """Decode a submission from MessagePack."""
        try:
            return msgspec.msgpack.decode(request.body, type=batch.Submission)
        except msgspec.DecodeError as error:
            raise adapter.InvalidMessageError(str(error)) from error

    def build_results_page(self, total, next_position, results):
        """Build a page of results in JSON."""
        return messages.build_json_response(
            200, [total, next_position, results]
        )

    def build_report_call(self):
        """Build the request for a report."""
        return messages.Request('GET', '/report', {})

    def decode_report(self, body):
        """Decode a report in JSON."""
        return msgspec.json.decode(body, type=call.Report)

    def build_order_call(self, order, replica_id):
        """Build an order in JSON."""
        body = msgspec.json.encode(order)
        return messages.Request(
            'POST', '/order', {'replica': replica_id}, body
        )

    def build_usage_call(self, window, counts, holder, fence):
        """Build a usage report as platform_api.PlatformApi takes it."""
        body = {'window': window, 'counts': counts}
        return _build_duty_call('/usage', body, holder, fence)

    def build_scale_call(
        self, service, failure_domain, replicas, holder, fence
    ):
        """Build an order for replicas as platform_api.PlatformApi takes it."""
        body = {
            'service': service,
            'zone': failure_domain,
            'groupCount': replicas,
        }
        return _build_duty_call('/scale', body, holder, fence)


def _build_duty_call(path, body, holder, fence):
    headers = {'duty-holder': holder, 'fence-token': str(fence)}
    return messages.Request('POST', path, headers, msgspec.json.encode(body))
