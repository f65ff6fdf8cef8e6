import pytest

from citronspan.core.outcomes import OutcomeClass
from citronspan.ops.streamed_answer import StreamedAnswer
from citronspan.ops.target_connection import AttemptFailedError


class Recorder:
    """Stands for everything that an answer holds, and notes what becomes of it."""

    def __init__(self, parts):
        self.parts = list(parts)
        self.calls = []
        self.head = b""
        self.outcome_class = OutcomeClass.OK
        self.status = 200
        self.answer = self.request = self.connection = self.spec = self

    def read(self, size):
        part = self.parts.pop(0)
        if part is None:
            raise AttemptFailedError(
                outcome_class=OutcomeClass.ANSWER_LOST, detail="cut"
            )
        return part

    def release(self, request_context, attempt_response, outcome_class, passed_bytes):
        self.calls.append(("release", outcome_class, passed_bytes))

    def __getattr__(self, name):
        return lambda *arguments: self.calls.append(name)


def make_answer(recorder):
    return StreamedAnswer(
        request_context=recorder,
        keyed_request=recorder,
        attempt_response=recorder,
        received=0.0,
        attempts=recorder,
        metrics=recorder,
    )


@pytest.mark.parametrize(
    ("parts", "outcome_class"),
    [
        ([b"abc", b"de", b""], OutcomeClass.OK),
        ([b"abc", None], OutcomeClass.ANSWER_LOST),
    ],
)
def test_an_answer_is_released_once_with_what_it_came_to(parts, outcome_class):
    recorder = Recorder(parts)
    answer = make_answer(recorder)
    whole = outcome_class is OutcomeClass.OK
    if whole:
        assert b"".join(answer) == b"abcde"
    else:
        with pytest.raises(AttemptFailedError):
            list(answer)
    answer.close()
    answer.close()
    passed = 5 if whole else 3
    assert recorder.calls.count(("release", outcome_class, passed)) == 1
    assert recorder.calls.count("end_request") == 1
    assert ("abort" in recorder.calls) is not whole
    assert ("report_streamed" in recorder.calls) is whole


def test_an_answer_that_nobody_began_to_read_is_released_as_well():
    recorder = Recorder([b"abc", b""])
    make_answer(recorder).close()
    assert ("release", OutcomeClass.CANCELLED, 0) in recorder.calls
    assert "end_request" in recorder.calls
    assert "abort" in recorder.calls
