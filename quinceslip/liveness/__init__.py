"""An actor that does not turn any more: how it is told from one that only waits, and what follows from it."""
