"""HTTP server of the platform's log service, with faults.

The server exposes a PartitionLog through the platform's protocol, so that
real gateway processes can use it. Calls can be refused for single hosts.
"""

import asyncio
import base64
import struct

import msgspec

from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_gateway.log import service
from auburnroad_standins import partition_log

RECORD_LENGTH = struct.Struct('>I')
READ_HEADER = struct.Struct('>QQ')
BYTES_PER_KB = 1024
# Of the users' platform.
MAX_CALL_BYTES = 2_097_152
ALL_HOSTS = ''
READ_PATHS = ('/-/log-read', '/-/log-newest')


class TopicFault(msgspec.Struct, frozen=True):
    """What is wrong with the calls of one topic.

    Attributes:
      refused: Whether they are refused with 503.
      silent: Whether they wait forever.
      delay_seconds: Delay before a call takes effect.
      hold_seconds: Delay of an answer, which tells what was so before.
      reads_only: Whether appends work.
    """

    refused: bool = False
    silent: bool = False
    delay_seconds: float = 0.0
    hold_seconds: float = 0.0
    reads_only: bool = False


class PlatformStore:
    """Serves one log to many hosts, each at its own address.

    Attributes:
      log: The stored records, and the faults that affect all hosts.
      delay_seconds: Delay of each call in seconds.
      refused: Names of the hosts whose calls are refused with 503.
      topic_faults: Faults by the host's name, or ALL_HOSTS, and the topic.
      translate: Called with the topic and each record of an append; returns
        the record that is stored.
    """

    __slots__ = (
        'log',
        'delay_seconds',
        'refused',
        'topic_faults',
        'translate',
        '_servers',
    )

    def __init__(self):
        self.log = partition_log.PartitionLog()
        self.log.max_call_bytes = MAX_CALL_BYTES
        self.delay_seconds = 0.0
        self.refused: set[str] = set()
        self.topic_faults: dict[tuple[str, str], TopicFault] = {}
        self.translate = lambda topic, record: record
        self._servers: list[server.HttpServer] = []

    async def listen(self, host_name: str, ip: str) -> str:
        """Listen on an address for the calls of one host.

        Args:
          host_name: Name of the host.
          ip: IP address to listen on.

        Returns:
          The bound address as 'IP:port'.
        """

        async def handle(request: messages.Request) -> messages.Response:
            return await self._handle(host_name, request)

        listener = server.HttpServer(handle)
        self._servers.append(listener)
        bound = await listener.start(ip, 0)
        return f'{bound[0]}:{bound[1]}'

    async def close(self) -> None:
        """Close the listeners of all hosts."""
        for listener in self._servers:
            await listener.close()

    def forget_history(self) -> None:
        """Delete all records of the keyed topics, as after their retention.

        read_newest still returns the newest record of each key. Reads of
        deleted offsets fail with LogTrimmedError.
        """
        for topic, partition in self.log.list_partitions():
            if topic.startswith(service.KEYED_PREFIX):
                end = len(self.log.list_records(topic, partition))
                self.log.forget(topic, partition, end)

    async def _handle(self, host_name, request) -> messages.Response:
        fault = self._find_topic_fault(host_name, request)
        if host_name in self.refused or fault.refused:
            return messages.Response(503)
        if fault.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(self.delay_seconds + fault.delay_seconds)
        response = await self._carry_out(request)
        await asyncio.sleep(fault.hold_seconds)
        return response

    def _find_topic_fault(self, host_name, request) -> TopicFault:
        topic = request.query.get('topic', '')
        for host in (host_name, ALL_HOSTS):
            fault = self.topic_faults.get((host, topic))
            if fault and not (
                fault.reads_only and request.path not in READ_PATHS
            ):
                return fault
        return TopicFault()

    async def _carry_out(self, request) -> messages.Response:
        try:
            return await _CALLS[request.path](self, request)
        except service.LogTrimmedError as error:
            return messages.build_json_response(
                410, {'first': error.first_offset}
            )
        except service.LogConflictError as error:
            status = 412 if 'at' in request.query else 409
            return messages.build_json_response(status, {'why': str(error)})
        except service.LogRefusedError:
            return messages.Response(503)
        except service.LogLostError as error:
            # The server closes the connection when a handler raises this.
            raise ConnectionResetError(str(error)) from error

    async def _append(self, request) -> messages.Response:
        query = request.query
        producer = None
        if 'producer' in query:
            producer = service.Producer(
                query['producer'], int(query['epoch']), int(query['sequence'])
            )
        records = [
            self.translate(query['topic'], record)
            for record in _split_records(request.body)
        ]
        offset = await self.log.append(
            query['topic'],
            int(query['part']),
            records,
            producer,
            int(query['at']) if 'at' in query else None,
        )
        return messages.build_json_response(
            200, {'offset': offset, 'end': offset + len(records)}
        )

    async def _read(self, request) -> messages.Response:
        query = request.query
        found = await self.log.read(
            query['topic'],
            int(query['part']),
            int(query['from']),
            int(query.get('waitMs', 0)),
            int(query.get('maxKb', 1024)) * BYTES_PER_KB,
        )
        body = READ_HEADER.pack(found.end, 0) + b''.join(
            RECORD_LENGTH.pack(len(record)) + record
            for record in found.records
        )
        return messages.Response(200, {}, body)

    async def _read_newest(self, request) -> messages.Response:
        snapshot = await self.log.read_newest(request.query['topic'])
        items = [
            {
                'key': record.key,
                'value': base64.b64encode(record.value).decode(),
                'offset': record.offset,
            }
            for record in snapshot.records
        ]
        return messages.build_json_response(
            200,
            {'items': items, 'hasMore': False, 'end': snapshot.next_offset},
        )


_CALLS = {
    '/-/log-append': PlatformStore._append,
    '/-/log-read': PlatformStore._read,
    '/-/log-newest': PlatformStore._read_newest,
}


def _split_records(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        (size,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        records.append(body[position : position + size])
        position += size
    return records
