"""Jobs that fail on every machine: when one is suspected, and what is tried meanwhile (docs/mistakes.md)."""
