"""Order of service at an endpoint, partner shares, admission limits and billing."""
