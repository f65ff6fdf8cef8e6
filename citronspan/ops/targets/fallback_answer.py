"""Keeps the answer of a failed attempt until the retry is sent to a target."""

import dataclasses

from citronspan.ops.targets.attempt_context import AttemptResponse


class FallbackAnswer:
    """The answer that a caller gets if no retry of its request reaches a target.

    The slot of its attempt has been released.
    """

    def __init__(self):
        self._response: AttemptResponse | None = None

    def keep(self, attempt_response: AttemptResponse) -> None:
        """Keep the response to a failed attempt whose slot has been released."""
        self._response = dataclasses.replace(attempt_response, is_released=True)

    def take(self) -> AttemptResponse | None:
        """Return the response, which the caller then owns, or None without one."""
        response, self._response = self._response, None
        return response

    def drop(self) -> None:
        """Close the connection of the response, if there is one."""
        response = self.take()
        if response is not None:
            response.answer.abort_response()
