"""Declared resources, their validation, and replication of versioned documents."""
