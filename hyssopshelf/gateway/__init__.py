"""Database gateway: multiplexes client sessions over pooled endpoint connections."""
