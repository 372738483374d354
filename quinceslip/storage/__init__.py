"""Durable records in the key-value store (`records`), and this controller's copy of them, kept by the watch."""
