"""Sources of the configuration: the platform's log, its feeds and its host list."""
