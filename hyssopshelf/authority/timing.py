"""Times of the protocol between coordinator and members, in seconds.

Each follows from the interval of pings: a member may miss two answers before its
grant lapses, and a successor takes over at about that time.
"""

PING_SECONDS = 0.4
"""Time between two pings of a member."""

GRANT_SECONDS = 2.0
"""Validity of a grant, counted from the sending of the ping that it answers."""

PROMISE_SECONDS = 0.8
"""Time for which a member promises not to take over, from the sending of a ping."""

PROMISE_CONTACT_SECONDS = 0.55
"""Age of the last answer up to which a ping carries a promise."""

ELECTION_CHECK_SECONDS = 0.1
"""Time between two looks at whether the coordinator has to be replaced."""

SILENCE_SECONDS = 1.1
"""Time without an answer of the coordinator after which it is replaced."""

ISOLATED_TAKEOVER_SECONDS = 4.0
"""Silence after which a member that reaches no other one takes over. A live
coordinator would have removed its registration by then."""

AUTHORITY_SECONDS = 2.0
"""Validity of the coordinator's authority, from the sending of a renewal."""

MAJORITY_AUTHORITY_SECONDS = 20.0
"""Validity of its authority while a majority of the members promises not to take
over. It bridges an outage of the store, and bounds the wait of a successor that
reaches no majority."""

RENEWAL_SECONDS = 0.5
"""Time between two renewals of the coordinator's lease."""

LEASE_SECONDS = 20.0
"""Time to live of the coordinator's lease. Only its explicit end matters, so it
outlives outages of the store."""

STORE_CONTACT_SECONDS = 1.1
"""Age of the coordinator's last contact with the store above which a successor
that reaches the store takes over."""

MEMBER_TIMEOUT_SECONDS = 2.5
"""Silence of a member after which the coordinator removes its registration."""

CLOCK_MARGIN_SECONDS = 0.05
"""Allowance for clocks that run at different rates."""

TAKEOVER_STEP_SECONDS = 0.25
"""Pause between the attempts of successors; a round trip between regions and a call
to the store fit into it, so that one wins without a race."""

RECONNECT_SECONDS = 0.9
"""Age of the last answer above which the connection to a peer is opened anew; two
pings and their answers fit into it."""

SMALL_DOCUMENT_BYTES = 6 * 1024
"""Compressed size up to which a configuration travels in answers to pings. A link of
5 Mbit/s carries one for each of 77 members in 0.8 s."""

CONFIGURATION_WAIT_SECONDS = 1.0
"""Time after which a member reads a configuration itself that it knows of and has
not received; half a second more, and it asks the coordinator for it."""

MEMBER_LIST_SECONDS = 0.5
"""Least time between two new lists of members."""

SMALL_HOST_DELAY_SECONDS = 0.4
"""Pause of a small host before it coordinates a fleet that has no coordinator yet."""
