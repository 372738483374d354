"""Jobs that wait for others: who may start, who is withdrawn, and how urgent what comes before is."""
