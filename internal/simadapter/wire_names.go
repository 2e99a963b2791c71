package simadapter

// Names on the simulator's wire. The comment of each constant gives the term of the field; for a number, its unit
// follows after a semicolon. The table of wire names in docs/glossary.md has the same rows.

// Keys of a batch and of its reply.
const (
	keyFrame    = "frame"    // number of a batch
	keyNow      = "wallS"    // time of a batch; seconds
	keyEvents   = "happened" // events
	keyCommands = "cmds"     // commands
)

// Events that the simulator sends. An event is an object whose only key is its name.
const (
	eventDispatcherStarted = "NewInstance"    // start of a dispatcher
	eventDispatcherKilled  = "Destroy"        // kill of a dispatcher
	eventEndpointList      = "Inventory"      // endpoint list
	eventEndpointUpdate    = "Discovery"      // update of a dispatcher's endpoints
	eventRequestArrived    = "Arrival"        // arrival of a request
	eventAttemptProgressed = "Note"           // progress of an attempt
	eventAttemptEnded      = "Verdict"        // end of an attempt
	eventResponseStarted   = "Flowing"        // start of a streamed response
	eventClientLeft        = "TimedOutClient" // client timeout, or a client that left
	eventTimerFired        = "Bell"           // end of a timer
	eventProbeEnded        = "Sampled"        // result of a health check
	eventGossip            = "Heard"          // gossip message from a peer
)

// Commands that a dispatcher sends in a reply.
const (
	commandSendAttempt   = "Issue"        // send an attempt
	commandCancelAttempt = "AbortAttempt" // cancel an attempt
	commandReject        = "Bounce"       // reject a request
	commandFail          = "DropRequest"  // fail a request
	commandSetTimer      = "WakeMe"       // set a timer
	commandPoll          = "Subscribe"    // poll the endpoint list
	commandProbe         = "HealthCheck"  // health check of a worker
	commandGossip        = "Signal"       // gossip message to a peer
	commandLog           = "Remark"       // log event
	commandFailed        = "Die"          // panic of a dispatcher
)

// Keys of events and commands.
const (
	keyDispatcher     = "dispatcher"  // dispatcher; index, from 0
	keySettings       = "setup"       // settings
	keySeed           = "nonce64"     // seed of a dispatcher's random choices
	keyListNumber     = "rosterId"    // number of an endpoint list
	keyEndpoints      = "hosts"       // endpoints
	keyUpdateMode     = "mode"        // kind of an update of the endpoints
	keyWorker         = "worker"      // worker ID
	keyWorkerState    = "readiness"   // state of a worker
	keyWorkerZone     = "dc"          // zone of a worker; index, from 0
	keyWorkerKind     = "shape"       // kind of a worker; index, from 0
	keyWorkerCell     = "pod"         // cell of a worker; index, from 0
	keyWorkerStart    = "bornS"       // start of a worker's process; seconds, 0 for long ago
	keyRequestID      = "rid"         // request ID
	keyOperation      = "band"        // operation; index, from 0
	keyTenant         = "project"     // tenant; index, from 0
	keyTimeout        = "graceS"      // client timeout; seconds
	keySizeHint       = "costGuessS"  // size hint: the client's estimate of the work; seconds
	keySlots          = "coresNeeded" // slots of a worker that a request takes; slots
	keyAttempt        = "hop"         // attempt of a request; index, from 0
	keyAttemptTimeout = "withinS"     // timeout of an attempt; seconds
	keyProgress       = "what"        // kind of progress; number, 1 for the start
	keyOutcome        = "reason"      // outcome of an attempt; number, from 1 for success
	keyRequestEnded   = "closed"      // the request has ended
	keyLoadReport     = "telemetry"   // load report
	keyRetryAfter     = "comeBackS"   // Retry-After; seconds
	keyTimer          = "keyBack"     // timer
	keyTimerDelay     = "offsetS"     // delay of a timer; seconds
	keySubscription   = "want"        // subscription to the endpoint list
	keyPeerFrom       = "sender"      // sender of a gossip message; index, from 0
	keyPeerTo         = "dst"         // receiver of a gossip message; index, from 0
	keyGossipContent  = "octets"      // content of a gossip message, in hexadecimal digits
	keyText           = "text"        // text
)

// States of a worker.
const (
	wordHealthy  = "healthy"      // healthy worker
	wordDraining = "cordoned"     // draining worker
	wordRemoved  = "deregistered" // removed worker
)

// Kinds of updates of the endpoints.
const (
	wordUnavailable = "broken"     // the discovery service did not answer
	wordChanges     = "patch"      // endpoints that have changed
	wordAll         = "whole"      // all endpoints
	wordStale       = "stale_copy" // all endpoints as of a time before the dispatcher's start
)
