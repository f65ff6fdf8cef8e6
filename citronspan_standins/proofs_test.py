"""Tests that a mutation which breaks nothing is not taken for one that was noticed."""

import pytest

from citronspan_standins.proofs import (
    PYTEST_FAILED,
    PYTEST_PASSED,
    Mutation,
    MutationError,
    apply_mutation,
    load_mutations,
    run_tests,
)

MUTATION = Mutation(
    name="m", rule="R", module="a.py", old="X = 1", new="X = 2", tests=("a_test.py",)
)
TEST = "import a\n\n\ndef test_x():\n    assert a.X == 1\n"


def make_tree(root, text):
    (root / "a.py").write_text(text)
    (root / "a_test.py").write_text(TEST)


def test_mutation_of_another_tree_is_checked(tmp_path):
    make_tree(tmp_path, "X = 1\n")
    assert run_tests(MUTATION.tests, tmp_path) == PYTEST_PASSED
    apply_mutation(MUTATION, tmp_path)
    assert run_tests(MUTATION.tests, tmp_path) == PYTEST_FAILED


@pytest.mark.parametrize(
    ("text", "new", "message"),
    [
        ("Y = 1\n", "X = 2", "0 times"),
        ("X = 1\nX = 1\n", "X = 2", "2 times"),
        ("X = 1\n", "X = 1", "nothing"),
        ("X = 1\n", "X = (", "never closed"),
    ],
)
def test_mutation_that_does_not_fit_the_code_is_passed_over(
    tmp_path, text, new, message
):
    make_tree(tmp_path, text)
    mutation = Mutation(
        name="m", rule="R", module="a.py", old="X = 1", new=new, tests=("a_test.py",)
    )
    with pytest.raises(MutationError, match=message):
        apply_mutation(mutation, tmp_path)
    assert (tmp_path / "a.py").read_text() == text


def test_mutation_of_a_module_that_is_gone_is_passed_over(tmp_path):
    with pytest.raises(MutationError, match="there is no a.py"):
        apply_mutation(MUTATION, tmp_path)


def test_test_that_is_gone_counts_as_one_that_failed(tmp_path):
    assert run_tests(["gone_test.py"], tmp_path) not in (PYTEST_PASSED, PYTEST_FAILED)


def test_mutations_cannot_be_loaded_or_have_one_name_twice():
    assert len(load_mutations()) >= 25
