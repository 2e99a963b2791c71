// Package transport moves bytes between the dispatcher and its clients, its workers, the discovery service and other
// dispatchers. It holds the server of client connections with their limits and timeouts, connections with a ring
// buffer for each direction, the pool of connections to workers, and the datagram socket.
//
// It knows messages by their framing alone, which package protocol parses. It doesn't interpret requests, choose
// workers or retry: a Handler and package proxy do that.
package transport
