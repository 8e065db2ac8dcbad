"""Decisions of an API gateway that keeps every customer of a shared back end to its plan."""

from coralvale.logic import Gateway

__all__ = ["Gateway"]
