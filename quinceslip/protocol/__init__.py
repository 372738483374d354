"""Wire formats and settings. Only this package uses the names on the wire."""
