"""An actor that makes no progress: how a stall is told from a wait, and what follows from it."""
