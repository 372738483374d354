"""Job state against the records in the key-value store."""
