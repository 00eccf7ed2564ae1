"""Entry point of ``python -m sassafraspin``."""

from sassafraspin.cli import main

main(prog_name="sassafraspin")
