package simadapter

import "canvasroute/internal/balancer"

// The methods here implement balancer.Effects: each one writes a command of the reply.

// SendAttempt implements balancer.Effects.
func (in *instance) SendAttempt(id balancer.RequestID, worker balancer.WorkerID, within balancer.Duration) {
	request := in.requests.get(id)
	request.attempts++
	request.inFlight++
	in.reply.open("Issue", in.number)
	in.reply.writeRaw("rid", request.quoted)
	in.reply.writeRaw("worker", in.workers.quoted[worker])
	if within > 0 {
		in.reply.writeSeconds("withinS", within)
	}
	in.reply.close()
}

// CancelAttempt implements balancer.Effects.
func (in *instance) CancelAttempt(id balancer.RequestID, attempt int) {
	in.reply.open("AbortAttempt", in.number)
	in.reply.writeRaw("rid", in.requests.get(id).quoted)
	in.reply.writeInt("hop", int64(attempt))
	in.reply.close()
}

// Reject implements balancer.Effects.
func (in *instance) Reject(id balancer.RequestID, retryAfter balancer.Duration) {
	in.reply.open("Bounce", in.number)
	in.reply.writeRaw("rid", in.requests.get(id).quoted)
	if retryAfter > 0 {
		in.reply.writeSeconds("comeBackS", retryAfter)
	}
	in.reply.close()
	in.requests.end(id)
}

// Fail implements balancer.Effects.
func (in *instance) Fail(id balancer.RequestID) {
	in.reply.open("DropRequest", in.number)
	in.reply.writeRaw("rid", in.requests.get(id).quoted)
	in.reply.close()
	in.requests.end(id)
}

// Wake implements balancer.Effects.
func (in *instance) Wake(key uint64, after balancer.Duration) {
	in.reply.open("WakeMe", in.number)
	in.reply.writeInt("keyBack", int64(key))
	in.reply.writeSeconds("offsetS", after)
	in.reply.close()
}

// PollEndpoints implements balancer.Effects.
func (in *instance) PollEndpoints() {
	in.reply.open("Subscribe", in.number)
	in.reply.writeRaw("want", "true")
	in.reply.close()
}

// Probe implements balancer.Effects.
func (in *instance) Probe(worker balancer.WorkerID) {
	in.reply.open("HealthCheck", in.number)
	in.reply.writeRaw("worker", in.workers.quoted[worker])
	in.reply.close()
}

// Log implements balancer.Effects.
func (in *instance) Log(event balancer.Event) {
	in.reply.writeText("Remark", in.number, event.String())
}
