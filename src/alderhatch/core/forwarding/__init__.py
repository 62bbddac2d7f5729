"""Requests forwarded unchanged: routes, servers, budgets and the run of a request."""
