"""Rendezvous hashing and digests that all processes compute alike."""

import xxhash

# Hashes lie below this.
HASH_RANGE = 2**64


def hash_text(text: str, seed: int = 0) -> int:
    """Return a 64-bit hash of ``text``, the same in every process."""
    return xxhash.xxh64_intdigest(text.encode("utf-8"), seed=seed)
