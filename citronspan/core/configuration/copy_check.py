"""Whether a node should compare its first copy of the feeds with that of a peer.

The store may hold an older record at a later offset, as after a restore from a copy or
a write that was carried out late. Peers that were there before know the newer one and
keep it. A node that started and read the store by itself doesn't, and its offsets are
the same as theirs, so that it has to ask for a whole copy.
"""

MAXIMUM_QUESTIONS = 3
"""Number of peers that are asked if none of them answers."""


class CopyCheck:
    """The question for a whole copy, which is asked until it was answered."""

    def __init__(self):
        self._questions_left = 0

    def note_first_read(self) -> None:
        """Note that the first copy of a feed was read from the store."""
        self._questions_left = MAXIMUM_QUESTIONS

    def note_whole_copy(self) -> None:
        """Note that a peer has sent a whole copy."""
        self._questions_left = 0

    def take_question(self) -> bool:
        """Return whether to ask a peer now, which counts as one question."""
        if not self._questions_left:
            return False
        self._questions_left -= 1
        return True
