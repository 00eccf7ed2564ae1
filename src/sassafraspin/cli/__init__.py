"""Command-line interface."""

from sassafraspin.cli.main import main

__all__ = ["main"]
