"""Stand-ins for the platform's services and for targets, for development only."""
