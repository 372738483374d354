"""Autoscaling: plans, requests, registers, consolidates and returns machines."""
