"""An actor that makes no progress: how a stall differs from a wait, and what follows from it."""
