"""Durable records in the key-value store, and this controller's cache of them, kept up to date by the watch."""
