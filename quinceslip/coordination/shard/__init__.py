"""One shard as its leader runs it: heartbeats, machine registration, silent workers, capacity and log summary."""
