package balancer

// Helpers shared by the simulations of several dispatchers and their workers.

const (
	simulationStep = Duration(20)
	// messageDelay is the delivery time of a load message between dispatchers.
	messageDelay = Duration(200)
)

// simulatedAttempt is an attempt at a simulated worker.
type simulatedAttempt struct {
	balancer *Balancer // sender
	request  RequestID
	number   int
	workLeft float64 // in ticks of a warm slot
}

// advance performs up to the given amount of work on the attempt, in ticks of a warm slot, and returns the amount that
// was performed.
func (a *simulatedAttempt) advance(work float64) float64 {
	done := min(a.workLeft, work)
	a.workLeft -= done
	return done
}

func (a *simulatedAttempt) finished() bool { return a.workLeft <= 0 }

// loadMessage is a load message in transit between dispatchers.
type loadMessage struct {
	dueAt Time
	from  PeerID
	to    PeerID
	load  WorkerLoad
}
