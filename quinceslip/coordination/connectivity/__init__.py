"""Whether a leader reaches its workers, and whose workers send their heartbeats to the wrong controller."""
