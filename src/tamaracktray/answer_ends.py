"""How the body of an answer ended."""

from enum import Enum


class AnswerEnd(str, Enum):
    """How the body of an answer ended, and which side ended it.

    ``LENGTH`` and ``LAST_CHUNK`` mean that all of the body arrived, by its announced
    length or its last chunk. ``CLOSE`` means that the peer closed the connection, which
    is the only end of an answer without framing. With ``CUT`` the peer closed or reset
    the connection too early or violated the protocol. ``ABANDONED`` means that this
    side stopped reading.
    """

    LENGTH = "length"
    LAST_CHUNK = "last_chunk"
    CLOSE = "close"
    CUT = "cut"
    ABANDONED = "abandoned"

    @property
    def is_proven(self) -> bool:
        """Return whether framing proves that the body is complete."""
        return self in (AnswerEnd.LENGTH, AnswerEnd.LAST_CHUNK)
