"""Decision logic and its data structures, free of sockets and threads."""
