"""Measurements with small seeded models; nothing here is run by the tests."""
