"""The checker's rules by concern: what machines do, what users are answered, waiting beside room, the end of a run."""
