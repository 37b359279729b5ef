"""Local servers that stand in for the platform's services and for databases."""
