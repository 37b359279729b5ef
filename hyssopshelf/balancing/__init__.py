"""Decisions on where work goes: holders, connections, and leaving the zone."""
