"""Fair workload levels of the queueing model, and the forwarding of jobs between shards based on them."""
