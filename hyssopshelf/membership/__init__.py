"""Failure detection among hosts and placement of endpoints on live hosts."""
