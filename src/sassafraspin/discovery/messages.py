"""Messages for the discovery of the control instances."""

import msgspec

from sassafraspin.settings import NamedAddress

__all__ = ["ControlMap", "DiscoveryMessage", "InstanceCard", "Seek"]


class InstanceCard(msgspec.Struct, frozen=True, array_like=True):
    """Identity and address of an instance.

    Parameters
    ----------
    name, availability_zone, host, port
        Name, availability zone and address for messages between instances.
    may_found : bool
        Whether the instance may be chosen as one of the first control instances.
    """

    name: str
    availability_zone: str
    host: str
    port: int
    may_found: bool

    @property
    def address(self) -> NamedAddress:
        """Return the address for messages between instances."""
        return NamedAddress(self.name, self.host, self.port)


class Seek(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Asks for the control instances and introduces the sender."""

    card: InstanceCard


class ControlMap(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Control instances known to the sender."""

    instances: tuple[NamedAddress, ...]


DiscoveryMessage = Seek | ControlMap
"""Messages of the discovery protocol."""
