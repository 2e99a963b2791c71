package protocol

// Names of header fields, paths, JSON keys and commands, as the platform defines them. The comment of each constant
// gives the term of the field; for a number, its unit follows after a semicolon. The table of wire names in
// docs/glossary.md has the same rows. Standard names of HTTP are in http_fields.go.

// Header fields of requests and responses, in lower case as in Head.
const (
	fieldID        = "req-id"       // request ID
	fieldOperation = "req-kind"     // operation
	fieldTenant    = "req-owner"    // tenant
	fieldTimeout   = "req-deadline" // client timeout, or the rest of it in an attempt; seconds
	fieldSizeHint  = "req-cost"     // size hint: the client's estimate of the work; microseconds
	fieldExtra     = "req-extra"    // further properties of a request: a list of name=value
	extraSlots     = "slots"        // slots of a worker that a request takes; slots
	fieldRetry     = "req-retry"    // mark of a client's retry
	fieldDeclined  = "srv-declined" // mark of an attempt that the worker did not execute
)

// Request targets.
const (
	PathRequest   = "/api"             // path of requests
	PathHealth    = "/_health"         // path of health checks
	PathLoad      = "/_load"           // path of load reports
	PathEndpoints = "/catalog/members" // path of the endpoint list
	queryWatch    = "stream"           // watch of the endpoint list, rather than one list
	queryVersion  = "index"            // version after which changes are watched
	hostName      = "origin.svc"       // Host field of requests to workers and to the discovery service
)

// Keys and values of endpoint lists.
const (
	keyListVersion   = "seq"         // version of an endpoint list
	keyListComplete  = "whole"       // the endpoint list is complete, rather than a change to the last one
	keyEndpoints     = "hosts"       // endpoints
	keyEndpointID    = "host"        // worker ID
	keyEndpointAddr  = "dial"        // address of a worker
	keyEndpointZone  = "site"        // zone of a worker
	keyEndpointKind  = "class"       // kind of a worker
	keyEndpointCell  = "block"       // cell of a worker; index, from 0
	keyEndpointState = "health"      // state of a worker
	Ready            = "Ready"       // healthy worker
	Terminating      = "Terminating" // draining worker
	Gone             = "Gone"        // removed worker
	keyEndpointStart = "born_ms"     // start of a worker's process; Unix milliseconds, 0 for long ago
)

// Keys and values of the lines in a worker's response.
const (
	keyLineID             = "id"       // request ID
	keyLineState          = "state"    // state of an attempt
	keyLineResult         = "result"   // result of an attempt
	wordStarted           = "started"  // started attempt
	wordRunning           = "running"  // running attempt
	wordDone              = "done"     // completed attempt
	wordFailed            = "failed"   // failed attempt
	wordReturnedUnstarted = "returned" // attempt that the worker gave back before its start
	wordLost              = "lost"     // attempt whose outcome the worker does not know
)

// Commands of operators, and the parts of their responses.
const (
	CommandHealth Command = "HEALTH" // readiness check
	CommandDump   Command = "DUMP"   // metrics
	CommandLeave  Command = "LEAVE"  // drain the dispatcher
	CommandJoin   Command = "JOIN"   // end the drain
	resultDone            = "done"   // success
	resultError           = "error"  // failure, with its reason
	dumpEnd               = "end"    // end of the metrics
	metricPrefix          = "svc."   // prefix of a metric's name
)
