"""Decisions on where work goes: holders, connections, and spillover."""
