package daemon

import "canvasroute/internal/admin"

// Division of the memory and file descriptor limits. Connections and request bodies use part of the heap. The memory
// beyond the heap limit is for stacks and files.
const (
	heapShare             = 0.75     // fraction of the memory limit that is the limit of the garbage collector
	connectionMemoryShare = 0.5      // fraction of the memory limit for connections
	bodyMemoryShare       = 0.125    // fraction of the memory limit for request bodies
	recordingShare        = 1.0 / 16 // fraction of the memory limit for what attempts in flight have received
	bytesPerConnection    = 32 << 10 // memory for each connection
	mebibyte              = 1 << 20  // bytes

	clientShare         = 0.6      // fraction of the connections for clients
	rejectedClientShare = 1.0 / 16 // additional connections for rejecting clients, as a fraction of clients

	reservedDescriptors = 24                       // listener, gossip, discovery, stdio, poller, temporary files
	adminDescriptors    = admin.MaxConnections + 2 // plus the listener and a spare

	maxShards = 64 // a shard number is encoded in one byte in messages between dispatchers
)

// shardCount returns the number of balancer shards: one for each whole core, at least one and at most maxShards.
func (c *Config) shardCount() int { return min(max(int(c.Cores), 1), maxShards) }

// resourceLimits are the resource limits of the whole process.
type resourceLimits struct {
	clientConnections int   // maximum open client connections, excluding those being rejected
	workerConnections int   // maximum open worker connections, including idle ones
	bodyBytes         int64 // memory limit for all request bodies
	recordingBytes    int64 // memory limit for what attempts in flight have received
	heapBytes         int64 // memory limit of the garbage collector
}

// resourceLimits derives the resource limits from the limits on file descriptors and memory. The limit that allows
// fewer connections determines their number.
func (c *Config) resourceLimits() resourceLimits {
	memory := float64(c.MemoryMB) * mebibyte
	reserved := reservedDescriptors
	if c.AdminListen != "" {
		reserved += adminDescriptors
	}
	connections := min(c.Sockets-reserved, int(memory*connectionMemoryShare/bytesPerConnection))
	clients := int(float64(connections) * clientShare)
	rejected := int(float64(clients)*rejectedClientShare) + 1
	return resourceLimits{
		clientConnections: clients,
		workerConnections: connections - clients - rejected,
		bodyBytes:         int64(memory * bodyMemoryShare),
		recordingBytes:    int64(memory * recordingShare),
		heapBytes:         int64(memory * heapShare),
	}
}
