"""Rendezvous hashing: rank hosts for a key identically on all nodes.

References
----------
.. [1] Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
   IEEE/ACM Transactions on Networking 6(1), 1998.
.. [2] Steele, Lea, Flood, "Fast Splittable Pseudorandom Number Generators",
   OOPSLA '14 (constants of the mixing function).
"""

import functools
import hashlib
import heapq
from collections.abc import Iterable

MASK = (1 << 64) - 1
_FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9
_SECOND_MULTIPLIER = 0x94D049BB133111EB

HASH_CACHE_SIZE = 65_536
"""Cached hashes; the target size has 26,400 endpoints and 5,100 hosts."""


@functools.lru_cache(maxsize=HASH_CACHE_SIZE)
def hash_text(text: str) -> int:
    """Return a 64-bit hash of a text that is the same in all processes.

    Python's built-in hash of strings is randomized per process.
    """
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def mix(first: int, second: int) -> int:
    """Combine two hashes into a 64-bit score."""
    value = ((first ^ second) * _FIRST_MULTIPLIER) & MASK
    return ((value ^ (value >> 29)) * _SECOND_MULTIPLIER) & MASK


def rank(key: int, candidates: Iterable[tuple[int, str]], count: int) -> list[str]:
    """Return the names with the lowest scores for a key, lowest first.

    Parameters
    ----------
    key : int
        Hash of the key.
    candidates : iterable of (int, str)
        Hash and name of each candidate.
    count : int
        Number of names to return.
    """
    names = []
    scores = []
    for name_hash, name in candidates:
        # mix() is inlined, because this loop dominates the cost of placement.
        value = ((key ^ name_hash) * _FIRST_MULTIPLIER) & MASK
        scores.append(((value ^ (value >> 29)) * _SECOND_MULTIPLIER) & MASK)
        names.append(name)
    return [name for _, name in heapq.nsmallest(count, zip(scores, names, strict=True))]
