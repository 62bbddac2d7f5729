"""Requests that are forwarded as they are: routes, servers, budgets and the run of a request."""
