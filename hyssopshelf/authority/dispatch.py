"""Handlers of the messages between coordinator and members."""

import functools

from hyssopshelf import clocks
from hyssopshelf.authority import assignments, exchange, member, timing


@functools.singledispatch
def apply(message, participant, host: str, address: str) -> None:
    """Apply a message that the node on ``host`` sent to this participant."""
    raise NotImplementedError(f"no handler for {type(message).__name__}")


@apply.register
def _apply_ping(message: exchange.Ping, participant, host: str, address: str) -> None:
    local_coordinator = participant.coordinator
    if local_coordinator is None or not local_coordinator.active:
        if message.epoch > participant.member.epoch:
            participant.candidate.check_record(clocks.read_clock())
        return
    if message.epoch > local_coordinator.record.epoch:
        local_coordinator.stop("a newer coordinator exists")
    else:
        local_coordinator.receive_ping(message, host, address)


@apply.register
def _apply_pong(message: exchange.Pong, participant, host: str, address: str) -> None:
    participant.member.receive_pong(message, host)


@apply.register
def _apply_release(
    message: exchange.Release, participant, host: str, address: str
) -> None:
    if message.epoch >= participant.member.epoch:
        participant.spawn(participant.release(message, host, address))


@apply.register
def _apply_released(
    message: exchange.Released, participant, host: str, address: str
) -> None:
    local_coordinator = participant.coordinator
    if local_coordinator is None or message.epoch != local_coordinator.record.epoch:
        return
    state = local_coordinator.grant_table.members.get(host)
    if state is not None and state.incarnation == message.incarnation:
        before = state.released.get(message.database, 0)
        state.released[message.database] = max(message.version, before)


@apply.register
def _apply_recall(
    message: exchange.Recall, participant, host: str, address: str
) -> None:
    if message.epoch >= participant.member.epoch:
        known = participant.member.assignments
        answer = exchange.Recalled(
            epoch=message.epoch,
            version=known.version,
            assignments=assignments.encode(known) if message.full else None,
        )
        participant.send(host, address, answer)


@apply.register
def _apply_recalled(
    message: exchange.Recalled, participant, host: str, address: str
) -> None:
    local_coordinator = participant.coordinator
    if local_coordinator is None or message.epoch != local_coordinator.record.epoch:
        return
    local_coordinator.recalled[host] = message


@apply.register
def _apply_inquire(
    message: exchange.Inquire, participant, host: str, address: str
) -> None:
    now = clocks.read_clock()
    silence = now - participant.member.answered_at
    if message.epoch >= participant.member.epoch:
        participant.silence_shared_at = now
    local_coordinator = participant.coordinator
    if (
        local_coordinator is not None
        and local_coordinator.active
        and message.epoch > local_coordinator.record.epoch
    ):
        # Members follow only newer coordinators than the one that they have lost.
        local_coordinator.stop("a newer coordinator existed")
    if local_coordinator is not None and local_coordinator.has_authority(now):
        silence = 0.0
    answer = exchange.Contact(
        number=message.number,
        epoch=participant.member.epoch,
        silence=min(silence, member.LONGEST_SILENCE_SECONDS),
    )
    participant.send(host, address, answer)


@apply.register
def _apply_contact(
    message: exchange.Contact, participant, host: str, address: str
) -> None:
    if message.number != participant.candidate.inquiry_number:
        return
    # The coordinator of a newer epoch may only have started, or is lost as well.
    newer = (
        message.epoch > participant.member.epoch
        and message.silence < timing.MINORITY_TAKEOVER_SECONDS
    )
    if not newer and message.silence > timing.SILENCE_SECONDS:
        participant.silence_shared_at = clocks.read_clock()
    participant.candidate.contacts[host] = 0.0 if newer else message.silence


@apply.register
def _apply_announce(
    message: exchange.Announce, participant, host: str, address: str
) -> None:
    if message.epoch < participant.member.epoch:
        return
    local_coordinator = participant.coordinator
    if local_coordinator is not None and local_coordinator.active:
        if message.epoch <= local_coordinator.record.epoch:
            return
        local_coordinator.stop("a newer coordinator announced itself")
    if (
        message.epoch > participant.member.epoch
        or participant.member.coordinator_record is None
    ):
        record = assignments.CoordinatorRecord(
            host=host,
            address=address,
            incarnation=message.incarnation,
            epoch=message.epoch,
            lease=0,
        )
        participant.member.follow(record)
    participant.member.ping()


@apply.register
def _apply_locate(
    message: exchange.Locate, participant, host: str, address: str
) -> None:
    record = participant.member.coordinator_record
    if record is not None and participant.member.answered_at > 0.0:
        located = exchange.Located(
            host=record.host,
            address=record.address,
            incarnation=record.incarnation,
            epoch=record.epoch,
        )
        participant.send(host, address, located)


@apply.register
def _apply_located(
    message: exchange.Located, participant, host: str, address: str
) -> None:
    known = participant.member.coordinator_record
    if message.host == participant.identity.host or (
        known is not None and message.epoch <= participant.member.epoch
    ):
        return
    if participant.coordinator is not None:
        participant.coordinator.stop("other nodes follow a newer coordinator")
    record = assignments.CoordinatorRecord(
        host=message.host,
        address=message.address,
        incarnation=message.incarnation,
        epoch=message.epoch,
        lease=0,
    )
    participant.member.follow(record)
    participant.member.ping()


@apply.register
def _apply_want_document(
    message: exchange.WantDocument, participant, host: str, address: str
) -> None:
    document = participant.member.make_document(message.epoch)
    if document is not None:
        participant.send(host, address, document)


@apply.register
def _apply_document(
    message: exchange.Document, participant, host: str, address: str
) -> None:
    cache = participant.member.document_cache
    before = cache.configuration_version
    participant.member.receive_document(message)
    local_coordinator = participant.coordinator
    if (
        cache.configuration_version != before
        and local_coordinator is not None
        and local_coordinator.active
    ):
        local_coordinator.publish_configuration()
