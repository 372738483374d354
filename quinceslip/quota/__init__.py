"""Nested organisation quotas: caps and guarantees of a whole tree, kept across shards (docs/quotas.md)."""
