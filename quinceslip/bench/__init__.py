"""Benchmarks of parts of the service (`quinceslip bench`); controllers never import them."""
