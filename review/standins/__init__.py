"""Stand-ins for the outside systems of a controller, written from the users' protocol page."""
