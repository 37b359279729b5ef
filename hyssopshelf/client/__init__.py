"""Client library for applications that use the database through the proxies."""

from hyssopshelf.client import session

Session = session.Session

__all__ = ["Session"]
