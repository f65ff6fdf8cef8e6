"""Benchmarks on seeded models and on local processes; the tests run none of them."""
