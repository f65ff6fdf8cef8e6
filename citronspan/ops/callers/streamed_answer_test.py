import pytest

from citronspan.core.outcomes import OutcomeClass
from citronspan.ops.callers.streamed_answer import StreamedAnswer
from citronspan.ops.targets.target_answer import AttemptFailedError


class Recorder:
    """Stands in for all collaborators of a streamed answer and records the calls."""

    def __init__(self, parts):
        self.parts = list(parts)
        self.calls = []
        self.body_start = b""
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

    def release(
        self, request_context, attempt_response, outcome_class, forwarded_bytes
    ):
        self.calls.append(("release", outcome_class, forwarded_bytes))

    def __getattr__(self, name):
        return lambda *arguments: self.calls.append(name)


def make_answer(recorder):
    return StreamedAnswer(
        request_context=recorder,
        keyed_request=recorder,
        attempt_response=recorder,
        received_at=0.0,
        attempts=recorder,
        metrics=recorder,
        open_requests=recorder,
    )


@pytest.mark.parametrize(
    ("parts", "outcome_class"),
    [
        ([b"abc", b"de", b""], OutcomeClass.OK),
        ([b"abc", None], OutcomeClass.ANSWER_LOST),
    ],
)
def test_answer_is_released_once_with_its_outcome(parts, outcome_class):
    recorder = Recorder(parts)
    answer = make_answer(recorder)
    is_complete = outcome_class is OutcomeClass.OK
    if is_complete:
        assert b"".join(answer) == b"abcde"
    else:
        with pytest.raises(AttemptFailedError):
            list(answer)
    answer.close()
    answer.close()
    forwarded_bytes = 5 if is_complete else 3
    assert recorder.calls.count(("release", outcome_class, forwarded_bytes)) == 1
    assert recorder.calls.count("end_request") == 1
    assert recorder.calls.count("end") == 1
    assert ("abort" in recorder.calls) is not is_complete
    assert ("report_streamed" in recorder.calls) is is_complete


def test_answer_that_was_never_read_is_released():
    recorder = Recorder([b"abc", b""])
    make_answer(recorder).close()
    assert ("release", OutcomeClass.CANCELLED, 0) in recorder.calls
    assert "end_request" in recorder.calls
    assert "abort" in recorder.calls
