"""A cluster scheduler whose controllers balance load between them as a multicluster."""

__version__ = "0.1.0"
