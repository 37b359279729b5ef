"""Stand-ins for the cases of the review: store, database instances and clients."""
