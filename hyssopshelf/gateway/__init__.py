"""The database gateway: client sessions on pooled connections to endpoints."""
