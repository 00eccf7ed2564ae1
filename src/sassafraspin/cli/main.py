"""The ``sassafraspin`` command group."""

import click

from sassafraspin.cli.daemon import check_settings, entry
from sassafraspin.cli.demo import demo
from sassafraspin.cli.explain import events, explain
from sassafraspin.cli.load import load
from sassafraspin.cli.move import move
from sassafraspin.cli.profile import profile
from sassafraspin.cli.soak import soak
from sassafraspin.cli.standin import stand_in
from sassafraspin.cli.status import status

__all__ = ["main"]

_EPILOG = (
    "Exit status: 0 success, 1 failure, 2 invalid input, 3 conflict with another "
    "change, 4 not found, 5 the instance or the control quorum is unavailable."
)


@click.group(epilog=_EPILOG, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="sassafraspin")
def main() -> None:
    """Schedule requests on heterogeneous engines shared by several teams."""


main.add_command(entry)
main.add_command(check_settings)
main.add_command(profile)
main.add_command(move)
main.add_command(status)
main.add_command(stand_in)
main.add_command(load)
main.add_command(demo)
main.add_command(explain)
main.add_command(events)
main.add_command(soak)
