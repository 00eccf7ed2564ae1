"""Runs the command line as ``python -m sassafraspin``."""

from sassafraspin.cli import main

main(prog_name="sassafraspin")
