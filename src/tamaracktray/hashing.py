"""Rendezvous hashing, with the same results in every process."""

from collections.abc import Iterable

import xxhash

# Exclusive upper bound of ``hash_text``.
HASH_RANGE = 2**64


def hash_text(text: str, seed: int = 0) -> int:
    """Return a 64-bit hash of ``text``, the same in every process."""
    return xxhash.xxh64_intdigest(text.encode("utf-8"), seed=seed)


def count_ranked_before(own: str, others: Iterable[str], key: str) -> int:
    """Return how many names rank before ``own`` by rendezvous hash with ``key``."""
    own_hash = hash_text(f"{key}\n{own}")
    return sum(hash_text(f"{key}\n{name}") < own_hash for name in others)
