"""Decision which replicas have every acknowledged commit of their database.

An endpoint may acknowledge a commit once some replicas have received it, the
synchronous ones. Which these are differs from commit to commit. Logs are prefixes of
the primary's log, so the replica that has received most has what any other one has.
"""

import attrs

from hyssopshelf.gateway import statements


@attrs.frozen(kw_only=True)
class LogEnd:
    """What an endpoint told about the end of its log.

    Attributes
    ----------
    position : LogPosition
        Last entry that it has received; a lower bound if it is not exact.
    exact : bool
        Whether the endpoint reported its status, and not only that it is busy.
    role : str
        Role that it reported, empty if it is not exact.
    term : int
        Term that it reported, 0 if it is not exact.
    """

    position: statements.LogPosition
    exact: bool
    role: str = ""
    term: int = 0


def find_complete(
    ends: dict[str, LogEnd | None],
    synchronous: int,
    *,
    primary: str = "",
    primary_end: statements.LogPosition | None = None,
    chosen: str = "",
) -> list[str]:
    """Return the replicas that have every acknowledged commit, the longest log first.

    Parameters
    ----------
    ends : dict of str to LogEnd or None
        End of the log of each endpoint that may have received commits, by id; None for
        those that do not answer.
    synchronous : int
        Replicas that have received a commit before it is acknowledged.
    primary : str
        Endpoint that is replaced; no replica.
    primary_end : LogPosition or None
        End of its log, which has all commits, if that is known.
    chosen : str
        Replica that an earlier call returned and that was not promoted; empty if there
        is none. Nothing has been acknowledged since.
    """
    replicas = {name: end for name, end in ends.items() if name != primary}
    found = []
    for name, end in replicas.items():
        if end is None:
            continue
        others = [other for key, other in replicas.items() if key != name]
        unknown = sum(other is None or not other.exact for other in others)
        leads = all(
            end.position >= other.position
            for other in others
            if other is not None and other.exact
        )
        # A commit is at as many replicas as are synchronous, so of fewer replicas
        # nothing needs to be known.
        furthest = leads and (unknown < synchronous or name == chosen)
        if furthest or (primary_end is not None and end.position >= primary_end):
            found.append(name)
    return sorted(found, key=lambda name: replicas[name].position, reverse=True)
