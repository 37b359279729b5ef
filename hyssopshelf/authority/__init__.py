"""Agreement between nodes, through the store, on the primary of each database.

One node at a time, the coordinator, grants the other nodes the right to use the
assigned primaries for a short time. It changes an assignment only after every
grant of it was released or has expired.
"""
