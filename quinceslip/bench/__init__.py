"""Measurements of the service's own parts, for `quinceslip bench`. No controller imports them."""
