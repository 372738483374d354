"""Hierarchical quotas: caps and guarantees of a tree of levels, enforced across shards (docs/quotas.md)."""
