"""LRU cache of prompt prefixes with a limited capacity.

A prompt is divided into blocks of fixed size. A block is identified by the
digest of the model and of the prompt up to the end of the block. The least
recently used block is evicted first.
"""

import collections

import xxhash

TOKEN_CHARACTERS = 4
BLOCK_TOKENS = 16
BLOCK_CHARACTERS = BLOCK_TOKENS * TOKEN_CHARACTERS


def count_tokens(prompt: str) -> int:
    """Count the tokens of a prompt.

    Args:
      prompt: The prompt.

    Returns:
      The number of tokens, at least 1.
    """
    return max(1, -(-len(prompt) // TOKEN_CHARACTERS))


def block_digests(model: str, prompt: str) -> list[str]:
    """Compute the digests of a prompt's complete blocks.

    Args:
      model: Name of the model.
      prompt: The prompt.

    Returns:
      A hexadecimal xxh3_64 for each block, in the order of the blocks.
    """
    state = xxhash.xxh3_64(f'{model}\0'.encode())
    digests = []
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        state.update(prompt[end - BLOCK_CHARACTERS : end].encode())
        digests.append(state.hexdigest())
    return digests


class PrefixCache:
    """The cached blocks, least recently used first."""

    __slots__ = ('_capacity', '_blocks')

    def __init__(self, tokens: int):
        self._capacity = tokens // BLOCK_TOKENS
        self._blocks: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def match(self, digests: list[str]) -> int:
        """Count the leading blocks that are cached and mark them as used.

        Args:
          digests: Digests of a prompt, as block_digests returns them.

        Returns:
          The number of blocks that need no prefill.
        """
        count = 0
        while count < len(digests) and digests[count] in self._blocks:
            count += 1
        # A block is useless without the blocks before it, so the first block
        # becomes the most recently used one and is evicted last.
        for digest in reversed(digests[:count]):
            self._blocks.move_to_end(digest)
        return count

    def insert(
        self, model: str, digests: list[str]
    ) -> tuple[list[str], list[str]]:
        """Add the blocks of a prompt.

        Args:
          model: Name of the model.
          digests: Digests of the prompt, as block_digests returns them.

        Returns:
          The digests that were stored and the digests that were evicted.
        """
        kept = digests[: self._capacity]
        stored = [digest for digest in kept if digest not in self._blocks]
        for digest in reversed(kept):
            self._blocks[digest] = model
            self._blocks.move_to_end(digest)
        removed = []
        while len(self._blocks) > self._capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        return stored, removed

    def clear(self, model: str) -> None:
        """Drop all blocks of a model after its weights have changed.

        Args:
          model: Name of the model.
        """
        for digest in [d for d, m in self._blocks.items() if m == model]:
            del self._blocks[digest]
