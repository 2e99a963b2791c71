package balancer

// worker is all that is known of one worker, by WorkerID. Its parts are changed by the parts of the balancer that
// they are named after.
type worker struct {
	hash  uint64 // of its ID: its place on the ring
	zone  ZoneID
	kind  KindID
	cell  CellID
	state WorkerState

	inFlight  int // attempts from here, a sibling process included
	unstarted int // of these, attempts whose start has not been reported

	workerEjection
	workerGossip
	workerWarmup
}

// workerEjection is what failures and refusals have shown of a worker.
type workerEjection struct {
	consecutiveFailures int
	possiblyExecuted    bool // an attempt that failed there since the last success may have run
	probeAfter          Time // no attempt before it: the worker was ejected or overloaded
	notBefore           Time // no attempt before it: it is another dispatcher's turn
}

// workerGossip is what peers have said of a worker, and what they have been told.
type workerGossip struct {
	peerInFlight    int // sum of peerLoads
	peerLoads       []peerLoad
	sentLoad        int    // in flight here as peers were last told, -1 to tell them again
	subsetPeerRange [2]int // peers that have the worker in their subset: from, to, modulo the number of dispatchers
}

// peerLoad is what a peer last said of a worker.
type peerLoad struct {
	from       PeerID
	inFlight   int
	receivedAt Time
}

// workerWarmup is what tells how warm a worker is, and what it was sent.
type workerWarmup struct {
	startedAt    Time // by the endpoint list; 0 is long ago
	exitedAt     Time // when its process was seen to have ended; 0: it was not
	respondedAt  Time // first response of the next process, never before that
	verifiedSize Work // largest work that it has done at the pace of a warm worker
	sends        []send
	credit       float64 // attempts that it may get from here while it warms up, where nothing is gossiped
	creditCount  int     // firstTries as credit was last reckoned
	earnsCredit  bool    // credit is being reckoned for the process that runs now
}

// send is work sent to a worker.
type send struct {
	sentAt    Time
	work      Work
	bySibling bool // by another process of this dispatcher
}

// zone is what attempts have shown of a failure zone, by ZoneID.
type zone struct {
	failures     int      // consecutive attempts that broke or found nobody there
	ejectedUntil Time     // no attempt goes there before it
	deliveryTime Duration // mean time until a worker there has received an attempt
}
