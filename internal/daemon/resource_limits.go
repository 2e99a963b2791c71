package daemon

import "canvasroute/internal/admin"

// How the limits on memory and descriptors are divided. What is left of the memory is for stacks and files.
const (
	heapShare             = 0.75     // of the memory limit is the limit of the garbage collector
	connectionMemoryShare = 0.5      // of the memory limit is for connections
	bodyMemoryShare       = 0.125    // of the memory limit is for request bodies
	bytesPerConnection    = 32 << 10 // of memory
	mebibyte              = 1 << 20  // bytes

	clientShare         = 0.6      // of the connections are clients'
	rejectedClientShare = 1.0 / 16 // of the clients' connections may be open in addition while they are rejected

	ownDescriptors   = 24                       // listener, datagrams, discovery, standard streams, poller, short-lived files
	adminDescriptors = admin.MaxConnections + 2 // the listener's, and a connection's for which a slot is not free yet

	maxShards = 64 // a shard's number takes one byte in messages between dispatchers
)

// shardCount returns the number of balancer shards: one for each whole core, at least one and at most maxShards.
func (c *Config) shardCount() int { return min(max(int(c.Cores), 1), maxShards) }

// resourceLimits are upper bounds for the whole process.
type resourceLimits struct {
	clientConnections int   // open at once, those that are being rejected not included
	workerConnections int   // open at once, the idle ones included
	bodyBytes         int64 // of all request bodies in memory
	heapBytes         int64 // memory limit of the garbage collector
}

// resourceLimits derives the bounds from the limits on descriptors and memory. The limit that allows fewer connections
// decides their number.
func (c *Config) resourceLimits() resourceLimits {
	memory := float64(c.MemoryMB) * mebibyte
	own := ownDescriptors
	if c.AdminListen != "" {
		own += adminDescriptors
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
