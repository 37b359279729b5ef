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
    follows : bool
        Whether it has answered to this coordinator.
    released : dict of str to int
        Newest assignment version given back to this coordinator, by database.
    abandoned : dict of str to int
        Newest assignment version that the member does not use again.
    """

    host: str
    address: str
    incarnation: int
    place: str = ""
    heard_at: float = float("-inf")
    granted_until: float = float("-inf")
    promised_until: float = float("-inf")
    draining: bool = False
    follows: bool = False
    released: dict[str, int] = attrs.field(factory=dict)
    reach: dict = attrs.field(factory=dict)
    demand: dict = attrs.field(factory=dict)
    abandoned: dict[str, int] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Ledger:
    """Grants and promises of one coordinator.

    Attributes
    ----------
    members : dict of str to MemberState
        Registered members by host, this node left out.
    confirmed_at : float
        Sending time of the last renewal that the store confirmed.
    predecessor_ended_at : float
        Time at which the store ended the earlier coordinator's lease.
    majority_at : float
        Time at which a majority of the members followed this coordinator.
    predecessor_lived : bool
        Whether the earlier coordinator may still act; not after a restart of its
        own process.
    """

    members: dict[str, MemberState] = attrs.field(factory=dict)
    confirmed_at: float = float("-inf")
    predecessor_ended_at: float = float("-inf")
    majority_at: float = float("inf")
    predecessor_lived: bool = True

    def find_authority_end(self, now: float) -> float:
        """Return the time up to which no other coordinator can change anything.

        The store confirmed the lease a short time ago, or members that promised
        not to take over keep a successor from the majority it needs.
        """
        end = self.confirmed_at + timing.AUTHORITY_SECONDS
        promises = sorted(
            (state.promised_until for state in self.members.values()), reverse=True
        )
        if not promises:
            return end
        end = max(end, promises[-1])
        needed = (len(promises) + 1) // 2
        bound = self.confirmed_at + timing.MAJORITY_AUTHORITY_SECONDS
        return max(end, min(bound, promises[needed - 1]))

    def has_authority(self, now: float) -> bool:
        """Return whether no other coordinator can have changed anything."""
        return now < self.find_authority_end(now)

    def record_ping(self, member: MemberState, ping, now: float) -> None:
        """Apply a member's ping."""
        member.heard_at = now
        member.draining = ping.draining
        member.reach = ping.reach
        member.demand = ping.demand
        for database, version in ping.released.items():
            member.abandoned[database] = version
        if ping.promises and ping.stamp:
            sent_after = min(now, ping.stamp + ping.held)
            member.promised_until = (
                sent_after + timing.PROMISE_SECONDS - timing.MARGIN_SECONDS
            )
        else:
            member.promised_until = float("-inf")

    def record_follower(self, member: MemberState, now: float) -> None:
        """Note that a member answers to this coordinator."""
        member.follows = True
        followers = sum(1 for state in self.members.values() if state.follows) + 1
        if 2 * followers > len(self.members) + 1:
            self.majority_at = min(self.majority_at, now)

    def record_grant(self, member: MemberState, now: float) -> None:
        """Note that an answer with a grant is sent."""
        member.granted_until = now + timing.GRANT_SECONDS + timing.MARGIN_SECONDS

    @property
    def predecessors_until(self) -> float:
        """Return the time at which all grants of earlier coordinators have lapsed.

        An earlier coordinator acts on renewals before the end of its lease, and
        on promises of a majority that does not follow its successor yet.
        """
        ended_at = self.predecessor_ended_at
        grants = timing.GRANT_SECONDS + timing.MARGIN_SECONDS
        if not self.predecessor_lived:
            return ended_at + grants
        longest = ended_at + timing.MAJORITY_AUTHORITY_SECONDS
        renewed = ended_at + timing.AUTHORITY_SECONDS
        promised = self.majority_at + timing.PROMISE_SECONDS
        return min(longest, max(renewed, promised)) + grants

    def is_settled(self, now: float) -> bool:
        """Return whether a change would not wait for an unknown holder."""
        if now >= self.predecessors_until:
            return True
        return all(state.follows for state in self.members.values())

    def find_holders(self, database: str, version: int, now: float) -> list[str]:
        """Return the members that may still use an assignment."""
        holders = []
        for host, member in self.members.items():
            if member.released.get(database, 0) >= version:
                continue
            if now < max(member.granted_until, self.predecessors_until):
                holders.append(host)
        return holders
