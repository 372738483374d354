"""I/O of a controller: sockets, HTTP server and clients, links to peers, threads and clocks."""
