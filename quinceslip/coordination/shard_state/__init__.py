"""State of a shard: its workers and the tasks of its jobs, with the counts that scheduling needs."""
