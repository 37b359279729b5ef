"""Customers, the digests of their keys, and limits that hold across the fleet."""
