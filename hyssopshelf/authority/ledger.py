"""Pattern: nothing changes while somebody may still act on the old state.

The coordinator's account of grants and promises. A grant counts from the sending
of the answer, which is later than the member's own count; a promise counts from
an instant before the ping was sent. Both errors are on the safe side.
"""

import attrs

from hyssopshelf.authority import timing


@attrs.define(kw_only=True)
class MemberState:
    """What the coordinator knows of a member.

    Attributes
    ----------
    granted_until : float
        Time at which the last grant has certainly lapsed.
    promised_until : float
        Time up to which the member does not take over.
    released : dict of str to int
        Newest assignment version given back, by database.
    """

    host: str
    address: str
    incarnation: int
    place: str = ""
    heard_at: float = float("-inf")
    granted_until: float = float("-inf")
    promised_until: float = float("-inf")
    draining: bool = False
    released: dict[str, int] = attrs.field(factory=dict)
    reach: dict = attrs.field(factory=dict)
    demand: dict = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Ledger:
    """Grants and promises of one coordinator.

    Attributes
    ----------
    members : dict of str to MemberState
        Registered members by host, this node left out.
    confirmed_at : float
        Sending time of the last renewal that the store confirmed.
    predecessors_until : float
        Time at which all grants of earlier coordinators have lapsed.
    """

    members: dict[str, MemberState] = attrs.field(factory=dict)
    confirmed_at: float = float("-inf")
    predecessors_until: float = float("-inf")

    def has_authority(self, now: float) -> bool:
        """Return whether no other coordinator can have changed anything.

        Either the store confirmed the lease a short time ago, or every member
        that could take over has promised not to.
        """
        if now < self.confirmed_at + timing.AUTHORITY_SECONDS:
            return True
        if not self.members:
            return False
        return all(now < member.promised_until for member in self.members.values())

    def record_ping(self, member: MemberState, ping, now: float) -> None:
        """Apply a member's ping."""
        member.heard_at = now
        member.draining = ping.draining
        member.reach = ping.reach
        member.demand = ping.demand
        if ping.promises and ping.stamp:
            sent_after = min(now, ping.stamp + ping.held)
            member.promised_until = (
                sent_after + timing.PROMISE_SECONDS - timing.MARGIN_SECONDS
            )
        else:
            member.promised_until = float("-inf")

    def record_grant(self, member: MemberState, now: float) -> None:
        """Note that an answer with a grant is sent."""
        member.granted_until = now + timing.GRANT_SECONDS + timing.MARGIN_SECONDS

    def find_holders(self, database: str, version: int, now: float) -> list[str]:
        """Return the members that may still use an assignment."""
        holders = []
        for host, member in self.members.items():
            if member.released.get(database, 0) >= version:
                continue
            if now < max(member.granted_until, self.predecessors_until):
                holders.append(host)
        return holders
