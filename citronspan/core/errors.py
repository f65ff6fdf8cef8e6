"""Errors that carry a numbered result code."""

from citronspan.core.result_codes import ResultCode


class CitronspanError(Exception):
    """An error that a caller or an operator is told of.

    Attributes:
        code: The numbered result code.
        detail: What exactly is wrong, with the path of the field where one is.
    """

    def __init__(self, *, code: ResultCode, detail: str):
        super().__init__(f"[{code.number} {code.name}] {detail}")
        self.code = code
        self.detail = detail


class InvalidInputGroup(ExceptionGroup):
    """Several errors found in one input, reported together."""

    def derive(self, excs):
        """Return a group of the same type, as ``ExceptionGroup`` asks."""
        return InvalidInputGroup(self.message, excs)
