"""The node's process: event loop, HTTP server, peer transport and adapters."""
