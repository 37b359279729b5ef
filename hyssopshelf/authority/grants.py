"""Grants and promises that the coordinator tracks for each member.

A primary is not replaced while a member may still use it. The coordinator counts
a grant from the sending of its answer, later than the member does, and a promise
from before the sending of the ping; both errors are on the safe side.
"""

import attrs

from hyssopshelf.authority import timing

GRANT_EXPIRY_SECONDS = timing.GRANT_SECONDS + timing.CLOCK_MARGIN_SECONDS
"""Time from the sending of a grant until it has certainly expired, in seconds."""

DEFAULT_CAPACITY = 1.0
"""Processor share assumed for a host that has not reported its own, in cores."""


@attrs.define(kw_only=True)
class MemberState:
    """State of a member as the coordinator knows it.

    Attributes
    ----------
    registered : bool
        Whether the store certainly has its registration. Without it the next
        coordinator may not know the member, so it is granted nothing.
    revision : int
        Revision of the registration when it was last read, 0 if it was not.
    removed_revision : int
        Revision of a registration that a call without an answer may have removed or
        may still remove, 0 without one.
    heard_at : float
        Time of the last ping.
    granted_until : float
        Time at which the last grant has certainly expired.
    direct_until : dict of str to float
        The same for grants to use a primary over the member's own connections, by
        database. Without one the member needs a host that has it.
    promised_until : float
        Time up to which the member does not take over.
    follows : bool
        Whether its last ping carried this coordinator's epoch.
    promised_before : float
        Time up to which its promises to earlier coordinators hold.
    released : dict of str to int
        Newest assignment version released to this coordinator, by database.
    failure_reports : dict of str to FailureReport
        Failing endpoints that the member reported, by id.
    demand : dict of str to int
        Connections that the member could use, by endpoint.
    sent_shares : dict or None
        Shares of connections that the member was sent last.
    list_due_at : float
        Time from which the member is sent a new list of members.
    former_incarnations : frozenset of int
        Earlier processes of the host; a late message of one of them is ignored.
    reported_releases : dict of str to int
        Newest assignment version that the member does not use again, by database.
    """

    host: str
    address: str
    incarnation: int
    place: str = ""
    heard_at: float = float("-inf")
    granted_until: float = float("-inf")
    direct_until: dict[str, float] = attrs.field(factory=dict)
    promised_until: float = float("-inf")
    promised_before: float = float("inf")
    draining: bool = False
    follows: bool = False
    released: dict[str, int] = attrs.field(factory=dict)
    failure_reports: dict = attrs.field(factory=dict)
    demand: dict = attrs.field(factory=dict)
    capacity: float = DEFAULT_CAPACITY
    sent_shares: dict | None = None
    former_incarnations: frozenset[int] = frozenset()
    list_due_at: float = float("-inf")
    reported_releases: dict[str, int] = attrs.field(factory=dict)
    registered: bool = True
    revision: int = 0
    removed_revision: int = 0


@attrs.define(kw_only=True)
class GrantTable:
    """Grants and promises of one coordinator.

    While a majority of all members follows one coordinator, no other one gets the
    promises of a majority, so two never extend grants at the same time.

    Attributes
    ----------
    members : dict of str to MemberState
        Members by host, without this node.
    confirmed_at : float
        Sending time of the last renewal or write by which the store confirmed a
        coordinator.
    predecessor_ended_at : float
        Time at which the store ended the earlier coordinator's lease.
    majority_since : float
        Time since which a majority of the members has followed without a gap;
        infinite while none does.
    own_promised_before : float
        Time up to which this node's promises to earlier coordinators hold.
    ungranted : frozenset of str
        Hosts that the predecessor granted nothing: it has withheld grants from them,
        or it is the host itself, which used primaries by its authority alone.
    """

    members: dict[str, MemberState] = attrs.field(factory=dict)
    confirmed_at: float = float("-inf")
    predecessor_ended_at: float = float("-inf")
    majority_since: float = float("inf")
    own_promised_before: float = float("inf")
    ungranted: frozenset[str] = frozenset()
    _others_promised_until: float = float("inf")

    def find_authority_end(self) -> float:
        """Return the time up to which no other coordinator can change anything.

        Until then a renewal of the lease is recent enough, or members that promised
        not to take over keep any other coordinator from the majority it needs.
        """
        end = self.confirmed_at + timing.AUTHORITY_SECONDS
        promises = sorted(
            (state.promised_until for state in self.members.values()), reverse=True
        )
        if not promises:
            return end
        needed = (len(promises) + 1) // 2
        bound = self.confirmed_at + timing.MAJORITY_AUTHORITY_SECONDS
        return max(end, min(bound, promises[needed - 1]))

    def has_authority(self, now: float) -> bool:
        """Return whether no other coordinator can have changed an assignment."""
        # Avoids the sorting of all promises for each ping.
        if now < self.confirmed_at + timing.AUTHORITY_SECONDS:
            return True
        return now < self.find_authority_end()

    def record_ping(self, member: MemberState, ping, follows: bool, now: float):
        """Apply a ping; ``follows`` if it carries this coordinator's epoch.

        The majority is counted only if this member's part in it changes, before and
        after the change, so that no gap is missed and most pings cost the same in
        fleets of any size.
        """
        follower = self._is_follower(member, now)
        if not follower:
            self.update_majority(now)
        member.heard_at = now
        member.follows = follows
        member.draining = ping.draining
        member.failure_reports = ping.reach
        member.demand = ping.demand
        member.capacity = ping.capacity
        for database, version in ping.released.items():
            member.reported_releases[database] = version
        member.promised_before = now + ping.former_promise
        member.promised_until = float("-inf")
        if follows and ping.promises and ping.stamp:
            sent_after = min(now, ping.stamp + ping.held)
            member.promised_until = (
                sent_after + timing.PROMISE_SECONDS - timing.CLOCK_MARGIN_SECONDS
            )
        if not follower or not follows:
            self.update_majority(now)

    def _is_follower(self, member: MemberState, now: float) -> bool:
        return member.follows and now - member.heard_at < timing.PROMISE_SECONDS

    def update_majority(self, now: float) -> None:
        """Update the time since which a majority of the members has followed.

        This node counts as a follower; a member does while its pings arrive. Once none
        of the majority is bound by an earlier promise, no other coordinator can have
        the promises of one.
        """
        followers = [s for s in self.members.values() if self._is_follower(s, now)]
        if 2 * (1 + len(followers)) <= len(self.members) + 1:
            self.majority_since = self._others_promised_until = float("inf")
        elif now < self.majority_since:
            self.majority_since = now
            self._others_promised_until = max(
                [self.own_promised_before, *(s.promised_before for s in followers)]
            )

    def record_grant(self, member: MemberState, databases, now: float) -> None:
        """Record that an answer with a grant is being sent.

        Parameters
        ----------
        databases : iterable of str
            Databases whose primary the member may use over its own connections.
        """
        member.granted_until = now + GRANT_EXPIRY_SECONDS
        for database in databases:
            member.direct_until[database] = member.granted_until

    def find_grant_expiry(
        self, member: MemberState, database: str | None = None
    ) -> float:
        """Return the time at which a member's grants have expired.

        With ``database`` only grants to use its primary directly count.

        It covers grants of other coordinators, too. An earlier one may have acted
        on a renewal sent before its lease ended. A member that this coordinator
        does not hear may follow an interim coordinator, which needs no store but
        the promises of a majority.
        """
        granted_until = member.granted_until
        if database is not None:
            granted_until = member.direct_until.get(database, float("-inf"))
        renewed = self.predecessor_ended_at + timing.AUTHORITY_SECONDS
        if member.host in self.ungranted:
            renewed += timing.CLOCK_MARGIN_SECONDS
        else:
            renewed += GRANT_EXPIRY_SECONDS
        promised = GRANT_EXPIRY_SECONDS + min(
            self.majority_since + timing.PROMISE_SECONDS, self._others_promised_until
        )
        # An interim coordinator chooses other holders, so any grant counts here.
        longest = (
            max(member.granted_until, self.predecessor_ended_at + GRANT_EXPIRY_SECONDS)
            + timing.MAJORITY_AUTHORITY_SECONDS
        )
        return min(longest, max(granted_until, renewed, promised))

    def is_ready_for_change(self, database: str, now: float) -> bool:
        """Return whether a change would not have to wait for a silent member."""
        return all(
            state.follows or now >= self.find_grant_expiry(state, database)
            for state in self.members.values()
        )

    def find_grant_holders(self, database: str, version: int, now: float) -> list[str]:
        """Return the hosts that may still use an assignment up to ``version``.

        Hosts that reach the primary only through others are not among them.
        """
        self.update_majority(now)
        return [
            host
            for host, member in self.members.items()
            if member.released.get(database, 0) < version
            and now < self.find_grant_expiry(member, database)
        ]
