"""Messages between the processes of the fleet, and the view of its members."""
