"""Adapter to the platform's store, records and headers.

Only this package uses the platform's names. It decodes the platform's data into the
types of ``core``, where all decisions are made.
"""
