"""Which hosts are alive and which host serves which endpoint."""
