"""The callers' library."""

from hyssopshelf.client import session

Session = session.Session

__all__ = ["Session"]
