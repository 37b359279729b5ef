"""Processing of statements by their entry node and their serving node."""
