package daemon

import "canvasroute/internal/admin"

// How the limits on memory and descriptors are divided.
const (
	heapShare             = 0.75     // of the memory limit is the garbage collector's limit; the rest is for stacks and files
	connectionMemoryShare = 0.5      // of the memory limit is for connections
	bytesPerConnection    = 32 << 10 // of memory
	bodyMemoryShare       = 0.125    // of the memory limit is for request bodies
	clientShare           = 0.6      // of the connections are clients'
	rejectedClientShare   = 1.0 / 16 // of the clients' connections, on top, are held while they are turned away
	ownDescriptors        = 24       // listener, datagrams, discovery, standard streams, poller and short-lived ones
	mebibyte              = 1 << 20  // bytes
	maxShards             = 64       // a shard's number takes one byte in messages between dispatchers
)

// shardCount is the number of balancer shards: one for each whole core, at least one.
func (c *Config) shardCount() int { return min(max(int(c.Cores), 1), maxShards) }

// resourceLimits are upper bounds for the whole process.
type resourceLimits struct {
	clientConnections int
	workerConnections int
	bodyBytes         int64 // request bodies held at once
	heapBytes         int64 // memory limit of the garbage collector
}

// resourceLimits derives the bounds from the limits on descriptors and memory: the one that allows fewer connections
// decides.
func (c *Config) resourceLimits() resourceLimits {
	memory := float64(c.MemoryMB) * mebibyte
	own := ownDescriptors
	if c.AdminListen != "" {
		own += admin.MaxConnections + 2 // the admin listener, and one connection about to be turned away
	}
	connections := min(c.Sockets-own, int(memory*connectionMemoryShare/bytesPerConnection))
	clients := int(float64(connections) * clientShare)
	rejected := int(float64(clients)*rejectedClientShare) + 1
	return resourceLimits{
		clientConnections: clients,
		workerConnections: connections - clients - rejected,
		bodyBytes:         int64(memory * bodyMemoryShare),
		heapBytes:         int64(memory * heapShare),
	}
}
