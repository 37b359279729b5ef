"""Times of the protocol between coordinator and members, in seconds.

Each follows from the ping interval: a member may miss two answers before its
grant expires, and a successor takes over at about that time.
"""

PING_SECONDS = 0.4
"""Time between two pings of a member."""

GRANT_SECONDS = 2.0
"""Validity of a grant, counted by the member from the sending of its ping."""

PROMISE_SECONDS = 0.8
"""Time for which a member promises not to take over, from the sending of its ping."""

PROMISE_CONTACT_SECONDS = 0.55
"""Age of the coordinator's last answer up to which a ping carries a promise."""

ELECTION_CHECK_SECONDS = 0.1
"""Time between two checks whether the coordinator has to be replaced."""

SILENCE_SECONDS = 1.1
"""Time without an answer of the coordinator after which a member takes over."""

ISOLATED_TAKEOVER_SECONDS = 4.0
"""Silence after which a member that reaches no other member takes over. A live
coordinator would have removed its registration by then, and the write that records
the takeover would fail."""

MINORITY_TAKEOVER_SECONDS = 6.0
"""Silence after which members that are fewer than half take over through the store. A
live coordinator has removed their registrations by then, in a second attempt if the
first one had no answer."""

REGISTER_AGAIN_SECONDS = 15.0
"""Silence after which a member whose registration is gone registers itself again. Most
partitions have ended by then, so a live coordinator is heard first."""

AUTHORITY_SECONDS = 2.0
"""Validity of the coordinator's authority, from the sending of a lease renewal."""

MAJORITY_AUTHORITY_SECONDS = 20.0
"""Validity of its authority while a majority of the members promises not to take
over. It covers an outage of the store, and bounds the wait of a successor that
reaches no majority."""

RENEWAL_SECONDS = 0.5
"""Time between two renewals of the coordinator's lease."""

LEASE_SECONDS = 20.0
"""Time to live of the coordinator's lease. A successor ends the lease explicitly, so
the time is long enough to outlast an outage of the store."""

STORE_CONTACT_SECONDS = 1.1
"""Age of the coordinator's last contact with the store above which a successor
that reaches the store takes over."""

MEMBER_TIMEOUT_SECONDS = 2.5
"""Silence of a member after which the coordinator removes its registration."""

CLOCK_MARGIN_SECONDS = 0.05
"""Allowance for clocks that run at different rates."""

TAKEOVER_STEP_SECONDS = 0.25
"""Pause between the attempts of successors; a round trip between regions and a call
to the store fit into it, so that one succeeds before the next one tries."""

RECONNECT_SECONDS = 0.9
"""Age of the last answer above which the connection to a peer is reopened; two pings
and their answers fit into it."""

SMALL_DOCUMENT_BYTES = 6 * 1024
"""Compressed size up to which answers to pings carry a configuration. A link of
5 Mbit/s carries one to each of 77 members in 0.8 s."""

CONFIGURATION_WAIT_SECONDS = 1.0
"""Time after which a member that knows of a newer configuration and has not received
it reads it from the store; after half a second more it asks the coordinator."""

MEMBER_LIST_SECONDS = 0.5
"""Minimum time between two lists of members that the coordinator publishes."""

MEMBER_LIST_SECONDS_PER_MEMBER = 0.1
"""Minimum time between two lists that a member which is no successor receives, for
each member of the fleet. The list grows with the fleet, so the traffic of all lists
stays proportional to its size."""

SMALL_HOST_DELAY_SECONDS = 0.4
"""Pause of a small host before it coordinates a fleet without a coordinator, so that
a larger host can be first."""

STORE_ANSWER_SECONDS = 0.25
"""Time for which a member whose inquiry a majority supported waits for the store
before it coordinates without it. The store was asked at the same time as the members,
and a healthy one answers within milliseconds."""

MAXIMUM_ATTEMPT_PAUSE_SECONDS = 1.2
"""Maximum pause between two attempts to take over. It doubles with each failure, since
an attempt asks all members."""

REGISTRATION_DELAY_SECONDS = 0.4
"""Time after its start at which a node registers itself in the store; what its first
client needs is read before."""

BOOTSTRAP_REGISTRATION_SECONDS = 8.0
"""The same at the first start of a fleet, when the coordinator registers the members
together."""

BOOTSTRAP_SPREAD_SECONDS = 0.5
BOOTSTRAP_SEED_SECONDS = 1.0
BOOTSTRAP_OTHER_SECONDS = 2.5
"""Pauses before a node coordinates a fleet that starts for the first time: the maximum
of a random pause of large hosts, and the pauses of small seeds and other small hosts.
Those that wait usually find a coordinator without a call to the store."""
