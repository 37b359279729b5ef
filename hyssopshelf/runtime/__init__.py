"""Adapters that connect the core to tornado, pynng, the platform and endpoints."""
