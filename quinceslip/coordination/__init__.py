"""The controller: shard leadership, scheduling, reconciliation, load balancing and autoscaling."""
