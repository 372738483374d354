"""Detection of jobs that fail on every machine, and the limits on retries of suspected ones (docs/mistakes.md)."""
