"""The resource API, its client, and what operators see of a process."""
