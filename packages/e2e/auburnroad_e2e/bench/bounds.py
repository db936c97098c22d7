"""The least idle time that any policy could reach, from the engines' speed.

An engine with s slots ends a token step for all of them every
token_ms * (1 + batch_slowdown * (s - 1)) * slow milliseconds, and is never
faster than with all slots taken. A step of the trainer needs
groups_wanted * samples_per_group * sample_tokens tokens, so that the time
from one step to the next is at least these tokens by the sum of all engines'
speeds, and the idle time at least that less the training.
"""

from auburnroad_e2e.bench import plan
from auburnroad_standins.engine import batch
from auburnroad_standins.engine import options


def compute_engine_speed(
    load: plan.Load, slots: int, slow: float = 1.0
) -> float:
    """Compute the highest speed of one engine.

    Args:
      load: Speeds of the stand-ins.
      slots: The engine's slots.
      slow: Factor of a straggling engine.

    Returns:
      Tokens a millisecond.
    """
    engine = options.EngineOptions(
        token_ms=load.token_ms,
        batch_slowdown=load.batch_slowdown,
    )
    return slots / (batch.compute_step_ms(engine, slots) * slow)


def compute_idle_ms(
    step_tokens: float, speed: float, train_ms: float, call_tokens_per_ms=0.0
) -> float:
    """Compute the least idle time of a step.

    Args:
      step_tokens: Tokens that the steps of all trainers need.
      speed: Tokens a millisecond of all engines.
      train_ms: Milliseconds of training between two steps.
      call_tokens_per_ms: Tokens that callers are given meanwhile.

    Returns:
      Milliseconds.
    """
    cycle_ms = step_tokens / (speed - call_tokens_per_ms)
    return max(0.0, cycle_ms - train_ms)
