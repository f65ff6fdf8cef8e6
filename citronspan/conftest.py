"""Fixtures for the tests of all packages."""

import tracemalloc

import pytest


@pytest.fixture
def peak_memory():
    """Return a function that gives the peak of the memory allocated since the start."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    yield lambda: tracemalloc.get_traced_memory()[1] - before
    tracemalloc.stop()
