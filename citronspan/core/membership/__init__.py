"""Decisions about who is in the fleet, and which entries callers are told of.

Takes heartbeats and records of members, gives a view of the live nodes.
"""
