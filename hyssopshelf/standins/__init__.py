"""Stand-ins for the platform's services and for database instances."""
