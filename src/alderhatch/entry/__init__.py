"""The entry process: callers' requests in, shard requests out."""
