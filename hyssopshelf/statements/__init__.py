"""The path of a statement on its entry node and its serving node."""
