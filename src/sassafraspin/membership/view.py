"""Numbered membership views and the placement of keys on their members."""

from dataclasses import dataclass
from functools import lru_cache

import xxhash

from sassafraspin.settings import NamedAddress

__all__ = ["Member", "MemberIdentity", "View"]


@dataclass(frozen=True)
class MemberIdentity:
    """An instance and its incarnation; each restart has a new incarnation."""

    name: str
    incarnation: int


@dataclass(frozen=True)
class Member:
    """An instance as listed in a view.

    Parameters
    ----------
    name, incarnation, region, availability_zone
        Identity and location.
    host, port
        Address for messages between instances.
    control_port : int
        Port of the same host on which it accepts requests of operators and backend
        servers; 0 if unknown, because older builds do not report it.
    """

    name: str
    incarnation: int
    region: str
    availability_zone: str
    host: str
    port: int
    control_port: int = 0

    @property
    def identity(self) -> MemberIdentity:
        """Return the name with the incarnation."""
        return MemberIdentity(self.name, self.incarnation)

    @property
    def address(self) -> NamedAddress:
        """Return the address for messages between instances."""
        return NamedAddress(self.name, self.host, self.port)


@dataclass(frozen=True)
class View:
    """Set of members at one time, agreed on through the control log.

    Parameters
    ----------
    number : int
        Increases by one with each change; 0 is the empty first view.
    settled : int
        Number of the newest view whose members had all synchronized their records.
    members : tuple of Member
        Members, ordered by name.
    """

    number: int = 0
    settled: int = 0
    members: tuple[Member, ...] = ()

    def find(self, name: str) -> Member | None:
        """Return the member with this name."""
        for member in self.members:
            if member.name == name:
                return member
        return None

    def contains(self, identity: MemberIdentity) -> bool:
        """Return whether the instance is a member with this incarnation."""
        member = self.find(identity.name)
        return member is not None and member.incarnation == identity.incarnation

    def ranked(self, key: str, count: int) -> tuple[Member, ...]:
        """Return the members for a key by rendezvous hashing, highest rank first.

        When a member leaves, the hash order of the others does not change, so few keys
        are reassigned. At most one member of each availability zone is chosen before
        any second one, to spread copies over zones.

        Parameters
        ----------
        key : str
            Key to place.
        count : int
            Number of members to return.

        Returns
        -------
        tuple of Member
            ``count`` members, or all of them if there are fewer.
        """
        data = key.encode()
        order = sorted(
            self.members,
            key=lambda member: xxhash.xxh64_intdigest(data, _seed(member.name)),
        )
        chosen: list[Member] = []
        zones: set[str] = set()
        for member in order:
            if len(chosen) == count:
                break
            if member.availability_zone not in zones:
                chosen.append(member)
                zones.add(member.availability_zone)
        for member in order:
            if len(chosen) == count:
                break
            if member not in chosen:
                chosen.append(member)
        return tuple(chosen)


@lru_cache(maxsize=4096)
def _seed(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
