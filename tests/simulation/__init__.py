"""A simulated cluster in virtual time: the real controller actors among stand-ins for everything they talk to."""
