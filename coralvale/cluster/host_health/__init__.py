"""Health of instances, judged by the results that all gateways share."""
