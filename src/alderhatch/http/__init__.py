"""HTTP/1.1 server and client, built on h11 and trio."""
