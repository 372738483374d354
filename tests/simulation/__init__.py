"""A simulated cluster in virtual time: real controller actors, with stand-ins for every service they talk to."""
