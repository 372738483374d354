"""What every part of the controller actor shares: its context, its messages and effects, and the subsystem interface."""
