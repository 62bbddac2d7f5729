"""HTTP/1.1 by h11 on trio streams, as server and as client."""
