"""Membership between gateways: who is there, who owns what, and quotas that need no counter."""
