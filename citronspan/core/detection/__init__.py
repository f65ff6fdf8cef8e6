"""Decisions about targets: which fail, how likely, and what may be sent there.

Takes outcomes of attempts and verdicts of other brokers, gives limits and failure
probabilities.
"""
