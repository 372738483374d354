"""Scale out and in: which machines are wanted, requested, registered, consolidated and returned."""
