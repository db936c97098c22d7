"""KV cache that leaves one engine and enters another."""

import collections

import msgspec

from auburnroad_standins.engine import runs
from auburnroad_standins import serving
from auburnroad_standins import text

KEPT_RUNS = 256


class KvHead(msgspec.Struct):
    """First line of exported KV cache; padding follows.

    Attributes:
      model: Model whose weights made it.
      prompt_digest: See text.prompt_digest.
      tokens: How many tokens of the answer it covers.
    """

    model: str
    prompt_digest: str
    tokens: int


class KvStore:
    """What can be exported, and what was imported for requests to come."""

    __slots__ = ('_runs', '_imported', '_token_bytes')

    def __init__(self, token_bytes: int):
        self._runs: collections.OrderedDict[str, runs.Run] = (
            collections.OrderedDict()
        )
        self._imported: collections.OrderedDict[str, KvHead] = (
            collections.OrderedDict()
        )
        self._token_bytes = token_bytes

    def add(self, run: runs.Run) -> None:
        """Keep a run's KV cache until many others have come.

        Args:
          run: A run that got a slot.
        """
        self._runs[run.request.request_id] = run
        if len(self._runs) > KEPT_RUNS:
            self._runs.popitem(last=False)

    def build_export(self, request_id: str) -> bytes:
        """Build the KV cache of a request.

        Args:
          request_id: Request that runs or ended a short time ago.

        Returns:
          The KV cache, which only an engine can read.

        Raises:
          RefusedError: If there is none.
        """
        run = self._runs.get(request_id)
        if run is None:
            raise serving.RefusedError(404, 'unknown_request', request_id)
        request = run.request
        digest = text.prompt_digest(request.prompt)
        head = KvHead(request.model, digest, run.offset)
        padding = bytes(run.offset * self._token_bytes)
        return msgspec.json.encode(head) + b'\n' + padding

    def import_cache(self, request_id: str, data: bytes) -> None:
        """Keep KV cache for a request that will come.

        Args:
          request_id: Id that the request will have.
          data: What another engine exported.

        Raises:
          RefusedError: If the data is no KV cache.
        """
        try:
            head = msgspec.json.decode(data.partition(b'\n')[0], type=KvHead)
        except msgspec.DecodeError as error:
            raise serving.RefusedError(400, 'bad_kv', str(error)) from error
        self._imported[request_id] = head
        if len(self._imported) > KEPT_RUNS:
            self._imported.popitem(last=False)

    def take_import(self, request: runs.Completion) -> bool:
        """Use imported KV cache up.

        Args:
          request: The request that has come.

        Returns:
          True when the cache covers all that the request needs.
        """
        head = self._imported.pop(request.request_id, None)
        return (
            head is not None
            and head.model == request.model
            and head.prompt_digest == text.prompt_digest(request.prompt)
            and head.tokens >= request.resume_at
        )
