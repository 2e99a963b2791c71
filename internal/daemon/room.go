package daemon

import "canvasroute/internal/admin"

// Shares of the limits.
const (
	heapShare   = 0.75 // of the memory limit is the collector's; the rest is stacks, buffers in use and files
	connsShare  = 0.5  // of it is for connections
	connBytes   = 32 << 10
	bodiesShare = 0.125 // of it is for bodies that clients send
	clientShare = 0.6   // of the connections are for clients, who may hold a third of the descriptors with work
	spareShare  = 1.0 / 16
	ownSockets  = 24 // listener, datagrams, the list, standard streams, the poller, and some in passing
)

// mostInstances bounds the instances of the module: their number goes over the wire in a byte.
const mostInstances = 64

// instances is how many of the module this process runs: one for each whole core.
func (p *Config) instances() int { return min(max(int(p.Cores), 1), mostInstances) }

// room is what each sort of connection may use, in all.
type room struct {
	clients, workers int
	bodies, heap     int64
}

// room follows from the limits on descriptors and memory, whichever allows fewer connections.
func (p *Config) room() room {
	memory := float64(p.MemoryMB) * (1 << 20)
	own := ownSockets
	if p.AdminListen != "" {
		own += admin.MaxConnections + 2 // its listener, and one about to be told to go
	}
	conns := min(p.Sockets-own, int(memory*connsShare/connBytes))
	r := room{bodies: int64(memory * bodiesShare), heap: int64(memory * heapShare)}
	r.clients = int(float64(conns) * clientShare)
	r.workers = conns - r.clients - int(float64(r.clients)*spareShare) - 1
	return r
}
