"""The answer of a target whose head has been read, and the failure of an attempt."""

import http.client

import urllib3

from citronspan.core.outcomes import OutcomeClass

_BODYLESS_STATUSES = frozenset({204, 304})


class AttemptFailedError(Exception):
    """Signals that an attempt returned no complete answer.

    Attributes:
        outcome_class: Outcome that the failure proves.
        is_withdrawn: Whether nothing was sent because ``TargetRequest.may_send``
            withdrew the permission.
    """

    def __init__(
        self, *, outcome_class: OutcomeClass, detail: str, is_withdrawn: bool = False
    ):
        super().__init__(f"{outcome_class}: {detail}")
        self.outcome_class = outcome_class
        self.is_withdrawn = is_withdrawn


class TargetAnswer:
    """Holds an answer whose headers have been read and whose body has not."""

    def __init__(self, *, response, connection, release, method, deadline):
        self._response = response
        self._deadline = deadline
        self._connection = connection
        self._release = release
        self._method = method

    @property
    def status(self) -> int:
        """Status code."""
        return self._response.status

    @property
    def reason(self) -> str:
        """Reason phrase."""
        return self._response.reason or ""

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Headers in the order in which the target sent them."""
        return list(self._response.headers.iteritems())

    def find_header(self, name: str) -> str | None:
        """Return the value of a header, or None."""
        return self._response.headers.get(name)

    @property
    def is_bodyless(self) -> bool:
        """Whether the answer has no body by the rules of HTTP."""
        return self._method == "HEAD" or self.status in _BODYLESS_STATUSES

    @property
    def is_framed(self) -> bool:
        """Whether the end of the answer can be distinguished from a truncation."""
        return (
            self.is_bodyless
            or self._response.length_remaining is not None
            or self._response.chunked
        )

    @property
    def length(self) -> int | None:
        """Remaining bytes of the body, None if unknown."""
        return self._response.length_remaining

    def read(self, size: int) -> bytes:
        """Read a part of the body.

        Args:
            size: Maximum number of bytes.

        Returns:
            The bytes, empty only at the verified end of the body.

        Raises:
            AttemptFailedError: If the body is truncated or malformed, or the deadline
                passes.
        """
        try:
            return self._response.read(size, decode_content=False)
        except (TimeoutError, urllib3.exceptions.ReadTimeoutError) as error:
            raise self._fail(OutcomeClass.TIMED_OUT, str(error)) from error
        except AttemptFailedError:
            self.abort_response()
            raise
        except (
            OSError,
            ValueError,
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
        ) as error:
            raise self._fail(OutcomeClass.ANSWER_LOST, str(error)) from error

    def lift_limit(self) -> None:
        """Leave the rest of the body all of the request's time."""
        self._deadline.lift_limit()

    def finish(self) -> None:
        """Return the connection to the pool; call this after reading the whole body."""
        self._release(self._connection)

    def abort_response(self) -> None:
        """Close the connection, which cancels the request at the target."""
        # A response that ends with its connection holds its own reference to the
        # socket.
        self._response.close()
        self._connection.close()

    def _fail(self, outcome_class, detail):
        self.abort_response()
        return AttemptFailedError(outcome_class=outcome_class, detail=detail)
