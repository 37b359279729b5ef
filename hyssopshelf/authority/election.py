"""When a member takes over as the coordinator."""

from hyssopshelf.authority import timing

SILENT = "coordinator is silent"
ABSENT = "no coordinator is known"
RESIGNING = "coordinator resigns"
STORE_UNREACHABLE = "coordinator does not reach the store"
SILENT_WITHOUT_STORE = "coordinator is silent and the store does not answer"

EPOCH_STEP = 1000
"""Step of the epochs that the store records. Caretakers use the numbers between, so
a recorded coordinator goes before all caretakers before it."""

NOT_FOUND_STATUS = 404
CONFLICT_STATUS = 412

MAXIMUM_STEPS = 4
"""Members that try one after the other; further ones share their steps."""


def find_takeover_reason(member, now: float) -> str:
    """Return why a member should try to take over now, empty if it should not.

    A member never takes over while a promise of its own is in force, unless the
    coordinator asks for it.
    """
    record = member.coordinator_record
    if record is None:
        return ABSENT
    own = member.identity.host
    if record.host == own:
        # An earlier incarnation of this node coordinated.
        return ABSENT
    if member.resigning and own in member.successors[:1]:
        return RESIGNING
    if (
        own in member.successors
        and now - member.store_age_at < timing.SILENCE_SECONDS
        and member.store_age > timing.STORE_CONTACT_SECONDS
    ):
        return STORE_UNREACHABLE
    if now < member.promised_until:
        return ""
    if now - max(member.answered_at, member.followed_at) > timing.SILENCE_SECONDS:
        return SILENT
    return ""


def find_delay(member, reason: str) -> float:
    """Return the pause before the attempt; successors go first, in their order."""
    if reason in (ABSENT, RESIGNING):
        return 0.0
    own = member.identity.host
    if own in member.successors:
        return member.successors.index(own) * timing.TAKEOVER_STEP_SECONDS
    members = sorted(set(member.members) - set(member.successors) | {own})
    position = members.index(own) % MAXIMUM_STEPS
    return (len(member.successors) + position) * timing.TAKEOVER_STEP_SECONDS


def find_next_epoch(epoch: int) -> int:
    """Return the epoch of the coordinator that the store records next."""
    return (epoch // EPOCH_STEP + 1) * EPOCH_STEP


def is_agreed(
    others: int, contacts: dict[str, float], silence: float, strict: bool
) -> bool:
    """Return whether the other members miss the coordinator as well.

    Parameters
    ----------
    others : int
        Number of other members.
    contacts : dict of str to float
        Time since each member that answered heard the coordinator, in seconds.
    silence : float
        The same time of the member that asks.
    strict : bool
        Whether a majority must have answered.
    """
    if any(heard < timing.SILENCE_SECONDS / 2 for heard in contacts.values()):
        return False
    if strict:
        return 2 * (len(contacts) + 1) > others + 1
    if 2 * (len(contacts) + 1) >= others + 1:
        return True
    return not contacts and silence > timing.ISOLATED_TAKEOVER_SECONDS
