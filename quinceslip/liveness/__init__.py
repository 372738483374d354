"""Detection of a stalled actor, and the consequences of repeated stalls."""
