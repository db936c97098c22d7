"""Options of an engine, as the command line gives them."""

from auburnroad_standins import serving


class EngineOptions(serving.Options):
    """Options of an engine.

    Attributes:
      service: Service's name.
      slots: Requests that the batch holds.
      token_ms: Time of a token step of a single request, in milliseconds.
      batch_slowdown: Growth of that time for each further request.
      prefill_token_ms: Time of each token of a prompt that is not in the
        prefix cache, in milliseconds.
      prefix_tokens: Memory of the prefix cache in tokens.
      kv_token_bytes: Size of exported KV cache for each token.
      checks_fencing: Whether orders with an old fencing number are refused.
      load_lag_ms: Age of load reports in milliseconds.
      event_lag_ms: Age of cache events in milliseconds.
      event_gap_ratio: Share of cache events that get lost.
      swap_ms: Time in milliseconds for which a swap stops the batch.
      versions: Weight version of each loaded model.
      role: Role at the start; it is reported and changes nothing else.
      seed: Seed of what is random.
      books_file: File for the books; empty for none.
    """

    service: str = ''
    slots: int = 8
    token_ms: float = 5.0
    batch_slowdown: float = 0.05
    prefill_token_ms: float = 0.05
    prefix_tokens: int = 4096
    kv_token_bytes: int = 0
    checks_fencing: bool = False
    load_lag_ms: int = 300
    event_lag_ms: int = 300
    event_gap_ratio: float = 0.0
    swap_ms: float = 0.0
    versions: dict[str, int] = {}
    role: str = 'both'
    seed: int = 0
    books_file: str = ''
