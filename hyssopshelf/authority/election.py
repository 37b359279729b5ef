"""Conditions under which a member takes over as the coordinator."""

import random

from hyssopshelf.authority import allocation, timing

SILENT = "coordinator is silent"
ABSENT = "no coordinator is known"
RESIGNING = "coordinator resigns"
STORE_UNREACHABLE = "coordinator does not reach the store"
RECORDED = "other nodes follow a newer record"
SILENT_WITHOUT_STORE = "coordinator is silent and the store does not answer"

EPOCH_STEP = 1000
"""Step of the epochs that the store records. Interim coordinators use the numbers in
between, so a recorded coordinator takes precedence over all earlier interim ones."""

ERA_EPOCHS = 10**9
"""Number of epochs of one era of the store. A store that returns from an older copy
has lost the latest ones, so those of the next era begin above them."""

NOT_FOUND_STATUS = 404
CONFLICT_STATUS = 412


def find_takeover_reason(member, now: float) -> str:
    """Return why a member should try to take over now, empty if it should not.

    A member does not take over while a promise of its own is in force, unless the
    coordinator resigns or reports that it does not reach the store.
    """
    record = member.coordinator_record
    if record is None:
        return ABSENT
    own = member.identity.host
    if record.host == own:
        # The coordinator was an earlier incarnation of this node.
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
    """Return the seconds to wait before an attempt to take over.

    Successors go first, in their order, so that members do not compete. The others
    follow in groups that double, large hosts first: few members ask all others while
    most of the fleet is reached, and all have tried after a time that grows with the
    logarithm of the fleet.
    """
    if reason in (ABSENT, RESIGNING):
        return 0.0
    own = member.identity.host
    if own in member.successors:
        return member.successors.index(own) * timing.TAKEOVER_STEP_SECONDS
    others = {
        host: record.capacity if record is not None else 0.0
        for host, record in member.members.items()
        if host not in member.successors
    }
    others.setdefault(own, member.capacity)
    ranked = sorted(others, key=lambda host: (-others[host], host))
    group = (ranked.index(own) + 1).bit_length() - 1
    return (len(member.successors) + group) * timing.TAKEOVER_STEP_SECONDS


def find_bootstrap_delay(capacity: float, is_seed: bool) -> float:
    """Return the seconds to wait before coordinating a fleet at its first start.

    Large hosts go first, in a random order, and small hosts that others ask for the
    coordinator go before those that only ask.
    """
    if capacity > allocation.SMALL_CAPACITY:
        return random.uniform(0.0, timing.BOOTSTRAP_SPREAD_SECONDS)
    if is_seed:
        return timing.BOOTSTRAP_SEED_SECONDS
    return timing.BOOTSTRAP_OTHER_SECONDS


def find_attempt_pause(failures: int) -> float:
    """Return the seconds between an attempt to take over and the next one.

    Parameters
    ----------
    failures : int
        Attempts in a row that did not succeed.
    """
    pause = timing.PING_SECONDS * 2.0 ** min(failures, 8)
    return min(pause, timing.MAXIMUM_ATTEMPT_PAUSE_SECONDS)


def find_next_epoch(epoch: int, era: int) -> int:
    """Return the epoch that the next coordinator writes to the store.

    Parameters
    ----------
    epoch : int
        Newest epoch that is known.
    era : int
        Era of the store that the record is written to.
    """
    return (max(epoch, era * ERA_EPOCHS) // EPOCH_STEP + 1) * EPOCH_STEP


def find_era(epoch: int) -> int:
    """Return the era of the store in which an epoch was recorded."""
    return epoch // ERA_EPOCHS


def is_agreed(
    others: int, contacts: dict[str, float], silence: float, strict: bool
) -> bool:
    """Return whether the other members do not hear the coordinator either.

    A member that hears it prevents the takeover. So that the small side of a
    network partition does not take over at once, fewer than half of all members wait
    ``MINORITY_TAKEOVER_SECONDS``, as the others may be lost for good. A member
    without any answer waits ``ISOLATED_TAKEOVER_SECONDS``. The store still records
    one coordinator only; without the store a majority is required.

    Parameters
    ----------
    others : int
        Number of other members.
    contacts : dict of str to float
        Seconds since each member that answered last heard the coordinator.
    silence : float
        Seconds since the asking member last heard the coordinator.
    strict : bool
        Whether a majority is required, as without the store.
    """
    if any(heard < timing.SILENCE_SECONDS / 2 for heard in contacts.values()):
        return False
    if strict:
        return 2 * (len(contacts) + 1) > others + 1
    if 2 * (len(contacts) + 1) >= others + 1:
        return True
    if not contacts:
        return silence > timing.ISOLATED_TAKEOVER_SECONDS
    return silence > timing.MINORITY_TAKEOVER_SECONDS
