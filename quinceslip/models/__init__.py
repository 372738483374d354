"""Models that explore protocols of coordination with its own code (`quinceslip model`); no controller imports them."""
