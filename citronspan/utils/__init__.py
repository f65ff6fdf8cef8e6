"""General-purpose helpers that do not depend on the proxy."""
