"""Deterministic text of the engine stand-in, for generation and checks.

Token N of an answer depends on the model, the prompt and N alone, so a check
can compute the whole answer, whichever engines generated its parts.
"""

import functools

import xxhash

TOKEN_FORMAT = ' t%06x'
TOKEN_MASK = 0xFFFFFF


def prompt_digest(prompt: str) -> str:
    """Compute the digest that identifies a prompt in the books.

    Args:
      prompt: The prompt.

    Returns:
      The hexadecimal xxh3_64 of the prompt.
    """
    return xxhash.xxh3_64_hexdigest(prompt.encode())


@functools.lru_cache(maxsize=4096)
def answer_seed(model: str, prompt: str) -> int:
    """Compute the hash seed of an answer's tokens.

    Args:
      model: Name of the model.
      prompt: The prompt.

    Returns:
      A 64-bit number.
    """
    return xxhash.xxh3_64_intdigest(f'{model}\0{prompt}'.encode())


def token_text(seed: int, offset: int) -> str:
    """Compute the text of one token.

    Args:
      seed: Seed of the answer, as answer_seed returns it.
      offset: Index of the token in the answer, from 0.

    Returns:
      The token's text, with its leading space.
    """
    return TOKEN_FORMAT % (
        xxhash.xxh3_64_intdigest(b'%d' % offset, seed) & TOKEN_MASK
    )


def expected_text(model: str, prompt: str, start: int, end: int) -> str:
    """Compute the text of a range of an answer's tokens.

    Args:
      model: Name of the model.
      prompt: The prompt.
      start: Index of the first token.
      end: Index after the last token.

    Returns:
      The concatenated text of the tokens.
    """
    seed = answer_seed(model, prompt)
    return ''.join(token_text(seed, offset) for offset in range(start, end))
