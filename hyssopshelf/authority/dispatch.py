"""What a node does with each message of the agreement on primaries."""

import functools

from hyssopshelf import clocks
from hyssopshelf.authority import assignments, exchange, member


@functools.singledispatch
def apply(message, node, host: str, address: str) -> None:
    """Apply a message of the node on ``host``."""
    raise NotImplementedError(f"no handler for {type(message).__name__}")


@apply.register
def _apply_ping(message: exchange.Ping, node, host: str, address: str) -> None:
    leading = node.coordinator
    if leading is None or not leading.active:
        return
    if message.epoch > leading.record.epoch:
        leading.stop("a newer coordinator exists")
    else:
        leading.receive_ping(message, host, address)


@apply.register
def _apply_pong(message: exchange.Pong, node, host: str, address: str) -> None:
    node.member.receive_pong(message, host)


@apply.register
def _apply_release(message: exchange.Release, node, host: str, address: str) -> None:
    if message.epoch >= node.member.epoch:
        node.spawn(node.release(message, host, address))


@apply.register
def _apply_released(message: exchange.Released, node, host: str, address: str) -> None:
    leading = node.coordinator
    if leading is None or message.epoch != leading.record.epoch:
        return
    state = leading.ledger.members.get(host)
    if state is not None:
        before = state.released.get(message.database, 0)
        state.released[message.database] = max(message.version, before)


@apply.register
def _apply_inquire(message: exchange.Inquire, node, host: str, address: str) -> None:
    now = clocks.read_clock()
    silence = now - node.member.answered_at
    leading = node.coordinator
    if leading is not None and leading.has_authority(now):
        silence = 0.0
    answer = exchange.Contact(
        number=message.number,
        epoch=node.member.epoch,
        silence=min(silence, member.LONGEST_SILENCE_SECONDS),
    )
    node.send(host, address, answer)


@apply.register
def _apply_contact(message: exchange.Contact, node, host: str, address: str) -> None:
    if message.number != node.inquiry:
        return
    newer = message.epoch > node.member.epoch
    node.contacts[host] = 0.0 if newer else message.silence


@apply.register
def _apply_announce(message: exchange.Announce, node, host: str, address: str) -> None:
    if message.epoch < node.member.epoch:
        return
    leading = node.coordinator
    if leading is not None and leading.active:
        if message.epoch <= leading.record.epoch:
            return
        leading.stop("a newer coordinator announced itself")
    if message.epoch > node.member.epoch or node.member.coordinator is None:
        record = assignments.CoordinatorRecord(
            host=host,
            address=address,
            incarnation=message.incarnation,
            epoch=message.epoch,
            lease=0,
        )
        node.member.follow(record)
    node.member.ping()


@apply.register
def _apply_locate(message: exchange.Locate, node, host: str, address: str) -> None:
    record = node.member.coordinator
    if record is not None and node.member.answered_at > 0.0:
        located = exchange.Located(
            host=record.host,
            address=record.address,
            incarnation=record.incarnation,
            epoch=record.epoch,
        )
        node.send(host, address, located)


@apply.register
def _apply_located(message: exchange.Located, node, host: str, address: str) -> None:
    if node.member.coordinator is not None or message.host == node.identity.host:
        return
    record = assignments.CoordinatorRecord(
        host=message.host,
        address=message.address,
        incarnation=message.incarnation,
        epoch=message.epoch,
        lease=0,
    )
    node.member.follow(record)
    node.member.ping()


@apply.register
def _apply_document(message: exchange.Document, node, host: str, address: str) -> None:
    node.member.receive_document(message)
