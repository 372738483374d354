"""Which controller leads which shard, and whether that leader still reaches its workers."""
