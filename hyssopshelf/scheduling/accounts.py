"""Slot time accounts and the bill document of a pool, with its stored form."""

import json
import zlib

import attrs

from hyssopshelf import envelopes, exceptions, messages

RETENTION_WRITES = 1440
"""Writes of the document (a day at one a minute) for which the account of a host
that is gone stays open after its last change, and for which the mark of such a
host is kept after its account was folded. A count of writes needs no clock shared
between hosts and continues when another host becomes the writer."""

MAXIMUM_PART_AMOUNTS = 12
"""Maximum number of amounts in one message. A message then takes less than half of
the byte budget of a second, so large accounts cannot exceed it permanently."""

Amounts = dict[tuple[str, str], float]
"""Slot seconds by partner and rank."""


@attrs.frozen(kw_only=True)
class Account:
    """Slot time that one incarnation of a host has served in a pool.

    Amounts only grow, so two copies are merged by the maximum of each amount.

    Attributes
    ----------
    pool, host : str
        Pool and host of the account.
    incarnation : int
        Incarnation of the node on the host.
    amounts : tuple of (str, str, float)
        Partner, rank and slot seconds.
    changed : int
        In a document, its sequence when the amounts last changed.
    """

    pool: str
    host: str
    incarnation: int
    amounts: tuple[tuple[str, str, float], ...]
    changed: int = 0


@envelopes.register("scheduling.account")
@attrs.frozen(kw_only=True)
class AccountCopy:
    """Part of an account in the form that is sent to another node.

    Attributes
    ----------
    names : tuple of str
        Names of partners and ranks; each is sent once to save bytes.
    amounts : tuple of (int, int, float)
        Indexes of partner and rank in ``names``, and slot seconds.
    """

    pool: str
    host: str
    incarnation: int
    names: tuple[str, ...]
    amounts: tuple[tuple[int, int, float], ...]


@attrs.frozen(kw_only=True)
class Folded:
    """Mark that the closed sum includes a host's incarnations up to this one.

    ``sequence`` is the document's sequence when the mark was set.
    """

    host: str
    incarnation: int
    sequence: int


@attrs.frozen(kw_only=True)
class Bill:
    """Bill document of a pool, kept in the store under ``billing/<pool>``.

    Attributes
    ----------
    sequence : int
        Number of the document; each write increases it by one.
    closed : tuple of (str, str, float)
        Sum of all folded accounts.
    accounts : tuple of Account
        Accounts that can still grow.
    folded : tuple of Folded
        Incarnations whose accounts are included in ``closed``. Late copies of
        them are ignored, as they would be counted twice.
    """

    pool: str
    sequence: int = 0
    closed: tuple[tuple[str, str, float], ...] = ()
    accounts: tuple[Account, ...] = ()
    folded: tuple[Folded, ...] = ()


@attrs.define(kw_only=True)
class PoolAccounts:
    """Accounts of a pool that a node holds in memory.

    Attributes
    ----------
    open : dict of (str, int) to Amounts
        Open accounts by host and incarnation.
    closed : Amounts
        Closed sum of the last document that was read or written.
    folded : dict of str to Folded
        Marks of that document by host.
    stored : dict of (str, int) to Account
        Open accounts of that document.
    sequence : int
        Sequence of that document.
    """

    open: dict[tuple[str, int], Amounts] = attrs.field(factory=dict)
    closed: Amounts = attrs.field(factory=dict)
    folded: dict[str, Folded] = attrs.field(factory=dict)
    stored: dict[tuple[str, int], Account] = attrs.field(factory=dict)
    sequence: int = 0

    def is_folded(self, host: str, incarnation: int) -> bool:
        """Return whether the closed sum includes an account."""
        mark = self.folded.get(host)
        return mark is not None and incarnation <= mark.incarnation

    def merge(self, account: Account) -> bool:
        """Merge a copy of an account; return False if it was already folded."""
        if self.is_folded(account.host, account.incarnation):
            return False
        amounts = self.open.setdefault((account.host, account.incarnation), {})
        for partner, rank, seconds in account.amounts:
            key = (partner, rank)
            amounts[key] = max(amounts.get(key, 0.0), seconds)
        return True

    def adopt(self, bill: Bill) -> None:
        """Adopt a document read from the store and merge its open accounts."""
        self.sequence = bill.sequence
        self.closed = {(p, r): seconds for p, r, seconds in bill.closed}
        self.folded = {mark.host: mark for mark in bill.folded}
        self.stored = {(row.host, row.incarnation): row for row in bill.accounts}
        for key in [key for key in self.open if self.is_folded(*key)]:
            del self.open[key]
        for account in bill.accounts:
            self.merge(account)

    def export(self, pool: str, host: str, incarnation: int) -> Account:
        """Return an open account in the form that is sent and stored."""
        amounts = self.open[host, incarnation]
        return Account(
            pool=pool,
            host=host,
            incarnation=incarnation,
            amounts=_to_rows(amounts),
        )

    def is_unchanged(self, host: str, incarnation: int) -> bool:
        """Return whether an account has not changed for ``RETENTION_WRITES`` writes."""
        row = self.stored.get((host, incarnation))
        return (
            row is not None
            and row.amounts == _to_rows(self.open[host, incarnation])
            and self.sequence - row.changed >= RETENTION_WRITES
        )

    def draft(self, pool: str, ended: set[tuple[str, int]], present: set[str]) -> Bill:
        """Build the next document without changing the state in memory.

        Parameters
        ----------
        pool : str
            Name of the pool.
        ended : set of (str, int)
            Incarnations whose accounts can no longer grow and are folded.
        present : set of str
            Hosts whose marks must be kept.
        """
        sequence = self.sequence + 1
        last: dict[str, int] = {}
        for host, incarnation in ended & self.open.keys():
            last[host] = max(incarnation, last.get(host, incarnation))
        closed = dict(self.closed)
        kept = []
        for host, incarnation in sorted(self.open):
            if host not in last or incarnation > last[host]:
                kept.append(self._export_stored(pool, host, incarnation))
                continue
            for key, seconds in self.open[host, incarnation].items():
                closed[key] = closed.get(key, 0.0) + seconds
        folded = {
            host: mark
            for host, mark in self.folded.items()
            if host in present or sequence - mark.sequence < RETENTION_WRITES
        }
        for host, incarnation in last.items():
            folded[host] = Folded(host=host, incarnation=incarnation, sequence=sequence)
        return Bill(
            pool=pool,
            sequence=sequence,
            closed=_to_rows(closed),
            accounts=tuple(kept),
            folded=tuple(folded[host] for host in sorted(folded)),
        )

    def _export_stored(self, pool: str, host: str, incarnation: int) -> Account:
        exported = self.export(pool, host, incarnation)
        row = self.stored.get((host, incarnation))
        if row is not None and row.amounts == exported.amounts:
            return row
        return attrs.evolve(exported, changed=self.sequence + 1)

    def total(self) -> Amounts:
        """Return the sum of the closed and the open accounts."""
        total = dict(self.closed)
        for amounts in self.open.values():
            for key, seconds in amounts.items():
                total[key] = total.get(key, 0.0) + seconds
        return total


def split_account(account: Account) -> tuple[AccountCopy, ...]:
    """Split an account into parts that each fit into one message."""
    return tuple(
        _copy_part(account, account.amounts[start : start + MAXIMUM_PART_AMOUNTS])
        for start in range(0, len(account.amounts), MAXIMUM_PART_AMOUNTS)
    )


def join_copy(copy: AccountCopy) -> Account:
    """Convert a received copy to an account.

    Raises
    ------
    IndexError
        If an amount refers to a name that is not in the copy.
    """
    return Account(
        pool=copy.pool,
        host=copy.host,
        incarnation=copy.incarnation,
        amounts=tuple((copy.names[p], copy.names[r], s) for p, r, s in copy.amounts),
    )


def _copy_part(account: Account, amounts) -> AccountCopy:
    names = tuple(sorted({name for row in amounts for name in row[:2]}))
    return AccountCopy(
        pool=account.pool,
        host=account.host,
        incarnation=account.incarnation,
        names=names,
        amounts=tuple((names.index(p), names.index(r), s) for p, r, s in amounts),
    )


def encode_bill(bill: Bill) -> bytes:
    """Encode a bill as compressed JSON for the store.

    Uncompressed, the field names of several thousand accounts would exceed the
    store's value limit of 1 MB.
    """
    return zlib.compress(json.dumps(messages.unstructure(bill)).encode())


def decode_bill(data: bytes) -> Bill:
    """Decode a bill from its stored form.

    Raises
    ------
    CodecError
        If the data is not a bill.
    """
    try:
        plain = json.loads(zlib.decompress(data))
    except (ValueError, zlib.error) as error:
        raise exceptions.CodecError("bill is not compressed JSON") from error
    return messages.structure(plain, Bill)


def _to_rows(amounts: Amounts) -> tuple[tuple[str, str, float], ...]:
    return tuple((p, r, seconds) for (p, r), seconds in sorted(amounts.items()))
