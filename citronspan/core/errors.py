"""Errors that carry a numbered result code."""

from citronspan.core.result_codes import ResultCode


class CitronspanError(Exception):
    """An error that is reported to a caller or an operator.

    Attributes:
        code: The numbered result code.
        detail: Description of the error, with the path of the invalid field if there is
            one.
    """

    def __init__(self, *, code: ResultCode, detail: str):
        super().__init__(f"[{code.number} {code.name}] {detail}")
        self.code = code
        self.detail = detail


class InvalidInputGroup(ExceptionGroup):
    """Several errors found in one input, reported together."""

    def derive(self, excs):
        """Return a group of the same type, as ``ExceptionGroup`` requires."""
        return InvalidInputGroup(self.message, excs)
