"""Failure detection, promotion and confirmation of writes."""
