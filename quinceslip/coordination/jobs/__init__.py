"""Keeps job state consistent with the records in the key-value store."""
