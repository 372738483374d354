"""The controller actor: routes messages to its components, and answers users."""
