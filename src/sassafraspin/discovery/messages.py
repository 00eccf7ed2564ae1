"""Messages of an instance that looks for the control instances."""

import msgspec

from sassafraspin.settings import NamedAddress

__all__ = ["ControlMap", "DiscoveryMessage", "InstanceCard", "Seek"]


class InstanceCard(msgspec.Struct, frozen=True, array_like=True):
    """Who an instance is and where it is reached.

    Parameters
    ----------
    name, availability_zone, host, port
        Identity, place and address for messages between instances.
    may_found : bool
        Whether it has an empty disk that may be part of the first quorum.
    """

    name: str
    availability_zone: str
    host: str
    port: int
    may_found: bool

    @property
    def address(self) -> NamedAddress:
        """Return the named address."""
        return NamedAddress(self.name, self.host, self.port)


class Seek(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An instance asks for the control instances and tells who it is."""

    card: InstanceCard


class ControlMap(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The control instances, as far as the sender knows."""

    instances: tuple[NamedAddress, ...]


DiscoveryMessage = Seek | ControlMap
"""Every message of this part."""
