package simadapter

import "canvasroute/internal/balancer"

// The methods in this file, and SendLoad in gossip.go, implement balancer.Effects. Each of them adds a command to the
// reply.

// SendAttempt implements balancer.Effects.
func (in *instance) SendAttempt(id balancer.RequestID, worker balancer.WorkerID, timeout balancer.Duration) {
	request := in.requests.get(id)
	request.attempts++
	request.inFlight++
	in.reply.open(commandSendAttempt, in.number)
	in.reply.writeJSON(keyRequestID, request.quoted)
	in.reply.writeJSON(keyWorker, in.workers.quoted[worker])
	if timeout > 0 {
		in.reply.writeSeconds(keyAttemptTimeout, timeout)
	}
	in.reply.close()
}

// CancelAttempt implements balancer.Effects.
func (in *instance) CancelAttempt(id balancer.RequestID, attempt int) {
	in.reply.open(commandCancelAttempt, in.number)
	in.reply.writeJSON(keyRequestID, in.requests.get(id).quoted)
	in.reply.writeInt(keyAttempt, int64(attempt))
	in.reply.close()
}

// Reject implements balancer.Effects.
func (in *instance) Reject(id balancer.RequestID, retryAfter balancer.Duration) {
	in.reply.open(commandReject, in.number)
	in.reply.writeJSON(keyRequestID, in.requests.get(id).quoted)
	if retryAfter > 0 {
		in.reply.writeSeconds(keyRetryAfter, retryAfter)
	}
	in.reply.close()
	in.requests.markEnded(id)
}

// Fail implements balancer.Effects.
func (in *instance) Fail(id balancer.RequestID) {
	in.reply.open(commandFail, in.number)
	in.reply.writeJSON(keyRequestID, in.requests.get(id).quoted)
	in.reply.close()
	in.requests.markEnded(id)
}

// Wake implements balancer.Effects.
func (in *instance) Wake(key uint64, delay balancer.Duration) {
	in.reply.open(commandSetTimer, in.number)
	in.reply.writeInt(keyTimer, int64(key))
	in.reply.writeSeconds(keyTimerDelay, delay)
	in.reply.close()
}

// PollEndpoints implements balancer.Effects.
func (in *instance) PollEndpoints() {
	in.reply.open(commandPoll, in.number)
	in.reply.writeJSON(keySubscription, "true")
	in.reply.close()
}

// Probe implements balancer.Effects.
func (in *instance) Probe(worker balancer.WorkerID) {
	in.reply.open(commandProbe, in.number)
	in.reply.writeJSON(keyWorker, in.workers.quoted[worker])
	in.reply.close()
}

// Log implements balancer.Effects.
func (in *instance) Log(event balancer.Event) {
	in.reply.writeTextCommand(commandLog, in.number, event.String())
}
