"""Jobs that were submitted with a mistake: when one is suspected, and what is tried meanwhile (docs/mistakes.md)."""
