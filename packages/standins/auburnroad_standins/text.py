"""The text that an engine generates, computable by anyone who checks it.

Token N of an answer depends on the model, the prompt and N alone, so a
checker recomputes the whole answer, whichever engines produced its parts.
"""

import functools

import xxhash

TOKEN_FORMAT = ' t%06x'
TOKEN_MASK = 0xFFFFFF


def prompt_digest(prompt: str) -> str:
    """Compute the short form of a prompt that stands in the books.

    Args:
      prompt: The prompt.

    Returns:
      Its xxh3_64 in hexadecimal.
    """
    return xxhash.xxh3_64_hexdigest(prompt.encode())


@functools.lru_cache(maxsize=4096)
def answer_seed(model: str, prompt: str) -> int:
    """Compute the number that an answer's tokens are made from.

    Args:
      model: Model's name.
      prompt: The prompt.

    Returns:
      A number of 64 bits.
    """
    return xxhash.xxh3_64_intdigest(f'{model}\0{prompt}'.encode())


def token_text(seed: int, offset: int) -> str:
    """Compute one token.

    Args:
      seed: What answer_seed returned.
      offset: Index of the token in the answer, from 0.

    Returns:
      The token's text, with its leading space.
    """
    return TOKEN_FORMAT % (
        xxhash.xxh3_64_intdigest(b'%d' % offset, seed) & TOKEN_MASK
    )


def expected_text(model: str, prompt: str, start: int, end: int) -> str:
    """Compute a part of an answer.

    Args:
      model: Model's name.
      prompt: The prompt.
      start: Index of the first token.
      end: Index after the last token.

    Returns:
      The text of these tokens.
    """
    seed = answer_seed(model, prompt)
    return ''.join(token_text(seed, offset) for offset in range(start, end))
