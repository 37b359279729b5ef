"""Randomised fault runs: simulation, load, fault injection and checker."""
