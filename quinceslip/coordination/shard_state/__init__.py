"""What a shard knows of its workers and of the tasks of jobs, with the counts that scheduling asks for."""
