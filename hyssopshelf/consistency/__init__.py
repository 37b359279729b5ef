"""Session consistency: tokens, log positions and the choice of endpoint for a read."""
