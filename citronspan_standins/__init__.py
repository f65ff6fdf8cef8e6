"""Small stand-ins for the platform and its targets, for development only."""
