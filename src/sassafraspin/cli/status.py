"""Command that shows the status of an instance."""

import click

from sassafraspin.cli.errors import handle_errors
from sassafraspin.cli.operator_client import OperatorClient, operator_options
from sassafraspin.cli.output import echo_json, echo_table, json_option
from sassafraspin.daemon.status import InstanceStatus

__all__ = ["status"]


@click.command()
@json_option
@operator_options
@handle_errors
def status(as_json: bool, client: OperatorClient) -> None:
    """Show the status of an instance, its members, backend servers and moves."""
    report = client.get("/v1/status", InstanceStatus)
    if as_json:
        echo_json(report)
        return
    _echo_instance(report)
    _echo_members(report)
    _echo_backends(report)
    _echo_moves(report)
    _echo_profiles(report)


def _echo_instance(report: InstanceStatus) -> None:
    age = report.configuration_age_ms
    confirmed = "never confirmed" if age is None else f"confirmed {age} ms ago"
    freshness = "fresh" if report.fresh else "NOT FRESH"
    click.echo(f"instance       {report.instance} (incarnation {report.incarnation})")
    click.echo(f"ready          {_yes_or_no(report.ready)}")
    click.echo(f"lease          {'held' if report.lease_held else 'not held'}")
    click.echo(f"in flight      {report.in_flight}")
    index = report.configuration_index
    click.echo(f"configuration  index {index}, {freshness}, {confirmed}")
    click.echo(f"ledger         {report.records} records, synced {report.synced_view}")
    control = report.control
    if control is None:
        click.echo("control        not a control instance")
        return
    click.echo(
        f"control        {control.role} in term {control.term}, leader "
        f"{control.leader or 'unknown'}, commit {control.commit_index}, "
        f"voters {', '.join(control.voters) or 'none yet'}"
    )
    if control.failure is not None:
        click.echo(f"control        STOPPED: {control.failure}")


def _echo_members(report: InstanceStatus) -> None:
    view = report.view
    click.echo(f"\nview {view.number} (settled {view.settled})")
    rows = [
        (member.name, member.region, member.availability_zone, member.incarnation)
        for member in view.members
    ]
    echo_table(("MEMBER", "REGION", "AVAILABILITY_ZONE", "INCARNATION"), rows)


def _echo_backends(report: InstanceStatus) -> None:
    if not report.backend_servers:
        return
    click.echo("\nbackend servers dispatched here")
    rows = [
        (
            item.id,
            item.service,
            item.hardware,
            ",".join(item.versions),
            f"{item.busy_slots}/{item.slots}",
            _yes_or_no(item.accepts_work),
            item.prefill_tokens_per_second,
            item.decode_tokens_per_second,
        )
        for item in report.backend_servers
    ]
    headings = (
        "ID",
        "SERVICE",
        "HARDWARE",
        "VERSIONS",
        "BUSY",
        "ACCEPTS",
        "PREFILL_T/S",
        "DECODE_T/S",
    )
    echo_table(headings, rows)


def _echo_moves(report: InstanceStatus) -> None:
    if not report.moves:
        return
    click.echo("\nmoves")
    rows = [
        (move.spec.name, move.spec.service, move.phase, move.reason, move.detail)
        for move in report.moves
    ]
    echo_table(("NAME", "SERVICE", "PHASE", "REASON", "DETAIL"), rows)


def _echo_profiles(report: InstanceStatus) -> None:
    if not report.profiles:
        return
    click.echo("\nprofiles")
    rows = [
        (
            change.profile.name,
            change.profile.version,
            change.profile.service,
            change.profile.tier,
        )
        for change in report.profiles
    ]
    echo_table(("NAME", "VERSION", "SERVICE", "TIER"), rows)


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "no"
