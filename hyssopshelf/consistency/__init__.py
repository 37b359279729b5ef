"""Session consistency: tokens, log positions and the choice of an endpoint."""
