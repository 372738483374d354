"""What the parts of the controller actor share: context, timing, messages and effects, and the subsystem interface."""
