"""Measurements; each module is a command."""
