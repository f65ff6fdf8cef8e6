"""The adapter to the platform: its store, its records and its headers.

Nothing outside this package knows the platform's names. They are decoded here, once,
into the types of ``core``; what follows from them is decided there.
"""
