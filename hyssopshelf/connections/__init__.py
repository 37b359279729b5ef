"""Pools of connections to endpoints."""
