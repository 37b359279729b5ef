"""Declared resources, their validation, versioned documents and their spread."""
