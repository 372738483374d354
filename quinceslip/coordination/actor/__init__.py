"""Shared by the parts of the controller actor: calls, store writes, context, timing, messages and effects."""
