"""Jobs that depend on others: which may start, which are cancelled, and how urgent their dependencies are."""
