"""Queue scheduling at endpoints, partner shares, admission limits and billing."""
