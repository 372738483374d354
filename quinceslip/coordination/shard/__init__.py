"""One shard: its workers, the partitions of jobs that it answers for, and its parts together."""
