"""Decisions about what is in force, and how hosts pass it on.

Takes records of the log or the store and updates of peers, gives one state per offset.
"""
