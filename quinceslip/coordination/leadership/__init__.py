"""Who leads which shard, and whether the leader still reaches its workers."""
