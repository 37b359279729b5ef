"""Which endpoint leads each database, agreed between nodes through the store.

One node at a time, the coordinator, grants the other nodes the right to use an
assignment of primaries for a short time. It changes an assignment only after
every grant of it was given back or has lapsed.
"""
