"""The controller actor: routes messages to its parts, and answers users."""
