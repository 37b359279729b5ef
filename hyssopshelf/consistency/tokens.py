"""Signed session tokens.

A token is the base64url encoding of a msgpack list [key id, positions] followed
by a truncated HMAC-SHA256 of that list. ``positions`` maps the full name of a
database to the latest (term, index) that the session has written or seen.
"""

import base64
import binascii
import hashlib
import hmac

import msgpack

from hyssopshelf import exceptions, messages

SIGNATURE_BYTES = 16
"""Length of the truncated signature, in bytes."""

MAXIMUM_TOKEN_CHARACTERS = 16 * 1024
"""Maximum length of a token, enough for about 200 databases."""

Keys = tuple[tuple[str, bytes], ...]


def sign(positions: dict[str, messages.Position], keys: Keys) -> str:
    """Return the token for the positions, signed with the first key."""
    key_id, key = keys[0]
    body = msgpack.packb(
        [key_id, {name: (p.term, p.index) for name, p in positions.items()}]
    )
    return base64.urlsafe_b64encode(body + _compute_signature(key, body)).decode()


def verify(token: str, keys: Keys) -> dict[str, messages.Position]:
    """Return the positions of a token after checking its signature.

    An empty token has no positions.

    Raises
    ------
    TokenError
        If the token is too long, malformed, forged or signed with an unknown key.
    """
    if not token:
        return {}
    if len(token) > MAXIMUM_TOKEN_CHARACTERS:
        raise exceptions.TokenError("token is too long")
    try:
        data = base64.b64decode(token.encode("ascii"), altchars=b"-_", validate=True)
        body, signature = data[:-SIGNATURE_BYTES], data[-SIGNATURE_BYTES:]
        key_id, entries = msgpack.unpackb(body)
    except (binascii.Error, ValueError, TypeError, msgpack.UnpackException) as error:
        raise exceptions.TokenError("token is malformed") from error
    key = dict(keys).get(key_id) if isinstance(key_id, str) else None
    if key is None:
        raise exceptions.TokenError("token is signed with an unknown key")
    if not hmac.compare_digest(signature, _compute_signature(key, body)):
        raise exceptions.TokenError("signature of the token is wrong")
    return {
        name: messages.Position(term=term, index=index)
        for name, (term, index) in entries.items()
    }


def merge(
    known: dict[str, messages.Position], database: str, seen: messages.Position
) -> dict[str, messages.Position]:
    """Return the positions with ``seen`` added unless a later one is known."""
    current = known.get(database)
    if current is not None and current >= seen:
        return known
    return {**known, database: seen}


def _compute_signature(key: bytes, body: bytes) -> bytes:
    return hmac.new(key, body, hashlib.sha256).digest()[:SIGNATURE_BYTES]
