"""Decisions about one request at its entry: its route, its rate, its retries.

Takes the request and the resources in force, gives a route, an answer or a refusal.
"""
