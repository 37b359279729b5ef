"""Customers of a configuration and the digests of their keys.

Keys are secrets: the system keeps, sends and logs their digests only.
"""

import hashlib

import attrs

DIGEST_BYTES = 16
"""Size of the digest of a key, in bytes."""


@attrs.frozen(kw_only=True)
class Customer:
    """A customer and its limit.

    Attributes
    ----------
    name : str
        Name that endpoints are told.
    rate : float
        Operations a second over all hosts; infinite without a limit.
    burst : float
        Operations beyond the rate at once.
    """

    name: str
    rate: float = float("inf")
    burst: float = 0.0


@attrs.frozen(kw_only=True)
class Directory:
    """Customers of one version of the configuration.

    Attributes
    ----------
    by_name : dict of str to Customer
        Customers by name.
    names : dict of bytes to str
        Name of the customer that holds a key, by the digest of the key.
    """

    by_name: dict[str, Customer]
    names: dict[bytes, str]

    def find(self, digest: bytes | None) -> Customer | None:
        """Return the customer that holds a key, None if nobody does."""
        if digest is None:
            return None
        return self.by_name.get(self.names.get(digest, ""))

    def compute_shares(self) -> dict[str, float]:
        """Return the part of each customer in the sum of all rates.

        Customers without a limit count like the largest limit.
        """
        rates = {name: customer.rate for name, customer in self.by_name.items()}
        largest = max(
            (rate for rate in rates.values() if rate < float("inf")), default=1.0
        )
        bounded = {name: min(rate, largest) for name, rate in rates.items()}
        total = sum(bounded.values()) or 1.0
        return {name: rate / total for name, rate in bounded.items()}


def compute_digest(key: bytes) -> bytes:
    """Return the digest under which a key is known."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()
