"""Jobs that depend on others: who may start, who is cancelled, and how urgent what comes before is."""
