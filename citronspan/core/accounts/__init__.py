"""Client accounts of the fleet: who keeps the count of an account's requests."""
