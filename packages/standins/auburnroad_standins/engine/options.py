"""Command-line options of the engine stand-in."""

from auburnroad_standins import serving


class EngineOptions(serving.Options):
    """Options of an engine.

    Attributes:
      service: Name of the service.
      slots: Maximum number of requests in the batch.
      token_ms: Duration of a token step with one request in the batch, in
        milliseconds.
      batch_slowdown: Fraction of token_ms that each further request adds to
        a token step.
      prefill_token_ms: Prefill time of each prompt token that is not in the
        prefix cache, in milliseconds.
      prefix_tokens: Capacity of the prefix cache in tokens.
      kv_token_bytes: Size of an exported KV cache in bytes per token.
      checks_fencing: Whether orders with an old fencing number are refused.
      load_lag_ms: Age of load reports in milliseconds.
      event_lag_ms: Age of cache events in milliseconds.
      event_gap_ratio: Fraction of cache events that are lost, from 0 to 1.
      swap_ms: Time for which a weight swap pauses the batch, in milliseconds.
      versions: Weight version of each loaded model.
      role: Initial role, which is reported and has no other effect.
      seed: Seed of the random choice of lost events.
      books_file: Path of the file that run records are appended to; empty
        for no file.
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
