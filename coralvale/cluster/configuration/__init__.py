"""The configuration: data model, validation, partial changes and route lookup by prefix."""
