"""Loading and validation of daemon settings, including checks across sections."""

from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from expression import Error, Result

from sassafraspin.errors import InvalidInput, Problem
from sassafraspin.settings.document import (
    check_document,
    read_document,
    valid_sections,
)
from sassafraspin.settings.model import (
    Address,
    ControlSettings,
    DaemonSettings,
    InstanceSettings,
    ListenSettings,
    NamedAddress,
    ServiceSettings,
)

__all__ = ["load_settings"]

_ODD_QUORUM_SIZES = (1, 3, 5, 7)


def load_settings(path: Path) -> Result[DaemonSettings, InvalidInput]:
    """Read and validate a settings file.

    Parameters
    ----------
    path : Path
        JSON file. Relative paths in it are resolved against the file's folder.

    Returns
    -------
    Result
        The settings, or one error that lists every problem with its JSON path.
    """
    return read_document(path).bind(lambda value: _check_settings(value, path))


def _check_settings(value: object, path: Path) -> Result[DaemonSettings, InvalidInput]:
    checked = check_document(DaemonSettings, value, str(path))
    problems = () if checked.is_ok() else checked.error.problems
    sections = valid_sections(DaemonSettings, value)
    problems += tuple(_cross_section_problems(sections, path))
    if problems:
        return Error(InvalidInput(str(path), problems))
    return checked


def _cross_section_problems(sections: dict[str, Any], path: Path) -> Iterator[Problem]:
    listen = sections.get("listen")
    control = sections.get("control")
    instance = sections.get("instance")
    if listen is not None:
        yield from _duplicate_address_problems(listen)
    if control is not None:
        yield from _quorum_problems(control)
    if control is not None and instance is not None:
        yield from _local_control_problems(control, instance, listen, path)
    if "services" in sections:
        yield from _service_problems(sections["services"])
    yield from _duplicate_name_problems(sections)


def _duplicate_address_problems(listen: ListenSettings) -> Iterator[Problem]:
    seen: dict[tuple[str, int], str] = {}
    for name in ("callers", "operators", "peers"):
        address = getattr(listen, name)
        key = (address.host, address.port)
        if key in seen:
            message = f"port {address.port} is already used by {seen[key]}"
            yield Problem(f"$.listen.{name}.port", message)
        seen[key] = f"$.listen.{name}.port"


def _quorum_problems(control: ControlSettings) -> Iterator[Problem]:
    if len(control.instances) not in _ODD_QUORUM_SIZES:
        message = "the number of control instances must be 1, 3, 5 or 7"
        yield Problem("$.control.instances", message)
    if control.member_lease_ms < 3 * control.heartbeat_interval_ms:
        message = "must be at least three times heartbeat_interval_ms"
        yield Problem("$.control.member_lease_ms", message)


def _local_control_problems(
    control: ControlSettings,
    instance: InstanceSettings,
    listen: ListenSettings | None,
    path: Path,
) -> Iterator[Problem]:
    for index, address in enumerate(control.instances):
        if address.name != instance.name:
            continue
        if listen is not None and _differs(address, listen.peers):
            message = "must equal $.listen.peers, because it names this instance"
            yield Problem(f"$.control.instances[{index}]", message)
        yield from _data_folder_problems(control, path)


def _differs(address: NamedAddress, peers: Address) -> bool:
    return (address.host, address.port) != (peers.host, peers.port)


def _data_folder_problems(control: ControlSettings, path: Path) -> Iterator[Problem]:
    json_path = "$.control.data_folder"
    if control.data_folder is None:
        yield Problem(json_path, "is required on a control instance")
        return
    folder = path.parent / control.data_folder
    if not folder.parent.is_dir():
        yield Problem(json_path, f"parent folder {folder.parent.name!r} does not exist")


def _service_problems(services: tuple[ServiceSettings, ...]) -> Iterator[Problem]:
    for index, service in enumerate(services):
        json_path = f"$.services[{index}].path_prefix"
        if service.kind == "plain" and service.path_prefix is None:
            yield Problem(json_path, "is required for a plain service")
        if service.kind == "model" and service.path_prefix is not None:
            yield Problem(json_path, "is not allowed for a model service")
        if service.path_prefix is not None and _is_reserved(service.path_prefix):
            yield Problem(
                json_path, "overlaps a path of the model API or a health check"
            )


def _is_reserved(prefix: str) -> bool:
    reserved = ("/v1/", "/healthz", "/readyz")
    return prefix == "/" or any(
        path.startswith(prefix) or prefix.startswith(path) for path in reserved
    )


def _duplicate_name_problems(sections: dict[str, Any]) -> Iterator[Problem]:
    groups = {"$.services": sections.get("services", ())}
    if "control" in sections:
        groups["$.control.instances"] = sections["control"].instances
    if "access" in sections:
        groups["$.access.client_accounts"] = sections["access"].client_accounts
        groups["$.access.operators"] = sections["access"].operators
    for path, items in groups.items():
        for name, count in Counter(item.name for item in items).items():
            if count > 1:
                yield Problem(path, f"name {name!r} occurs {count} times")
