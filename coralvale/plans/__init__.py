"""Plans that change in service: who is on which plan from when, and allowance that is reserved ahead."""
