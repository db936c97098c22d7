"""Export and import of KV caches, which move requests between engines."""

import collections

import msgspec

from auburnroad_standins.engine import runs
from auburnroad_standins import serving
from auburnroad_standins import text

MAX_KEPT_RUNS = 256


class KvHeader(msgspec.Struct):
    """Header line of an exported KV cache; padding follows it.

    Attributes:
      model: Model that computed the cache.
      prompt_digest: See text.prompt_digest.
      tokens: Number of tokens of the answer that the cache covers.
    """

    model: str
    prompt_digest: str
    tokens: int


class KvStore:
    """Runs whose KV cache can be exported, and imported KV caches."""

    __slots__ = ('_runs', '_imported', '_token_bytes')

    def __init__(self, token_bytes: int):
        self._runs: collections.OrderedDict[str, runs.Run] = (
            collections.OrderedDict()
        )
        self._imported: collections.OrderedDict[str, KvHeader] = (
            collections.OrderedDict()
        )
        self._token_bytes = token_bytes

    def add(self, run: runs.Run) -> None:
        """Keep a run's KV cache until MAX_KEPT_RUNS newer runs are kept.

        Args:
          run: A run that has just got a slot.
        """
        self._runs[run.request.request_id] = run
        if len(self._runs) > MAX_KEPT_RUNS:
            self._runs.popitem(last=False)

    def build_export(self, request_id: str) -> bytes:
        """Build the exported KV cache of a request.

        Args:
          request_id: Id of one of the last MAX_KEPT_RUNS requests.

        Returns:
          The header line and padding, in the format of import_cache.

        Raises:
          RefusedError: If no KV cache of the request is kept.
        """
        run = self._runs.get(request_id)
        if run is None:
            raise serving.RefusedError(404, 'unknown_request', request_id)
        request = run.request
        digest = text.prompt_digest(request.prompt)
        header = KvHeader(request.model, digest, run.offset)
        padding = bytes(run.offset * self._token_bytes)
        return msgspec.json.encode(header) + b'\n' + padding

    def import_cache(self, request_id: str, data: bytes) -> None:
        """Keep an exported KV cache for a later request.

        Args:
          request_id: Id of the later request.
          data: KV cache that another engine exported.

        Raises:
          RefusedError: If the data has no valid header line.
        """
        try:
            header = msgspec.json.decode(
                data.partition(b'\n')[0], type=KvHeader
            )
        except msgspec.DecodeError as error:
            raise serving.RefusedError(400, 'bad_kv', str(error)) from error
        self._imported[request_id] = header
        if len(self._imported) > MAX_KEPT_RUNS:
            self._imported.popitem(last=False)

    def pop_import(self, request: runs.Completion) -> bool:
        """Remove the KV cache that was imported for a request.

        Args:
          request: The request that gets a slot.

        Returns:
          True when the cache is valid for the request and covers all tokens
          before resume_at, so that the request needs no prefill.
        """
        header = self._imported.pop(request.request_id, None)
        return (
            header is not None
            and header.model == request.model
            and header.prompt_digest == text.prompt_digest(request.prompt)
            and header.tokens >= request.resume_at
        )
