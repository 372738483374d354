"""Measurements of the service's own parts, for `quinceslip bench`. Nothing of it is imported by a controller."""
