"""Pooled connections to endpoints and their states."""
