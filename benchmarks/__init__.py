"""Benchmarks; each module with a ``main`` runs as ``python -m benchmarks.NAME``."""
