"""The metering of tenants among gateways, and what it feeds to the restrictor."""
