package balancer

// What the simulations of several dispatchers and their workers have in common.

const (
	simulationStep = Duration(20)
	// messageDelay is how long a load message takes from one dispatcher to another.
	messageDelay = Duration(200)
)

// simulatedAttempt is an attempt at a simulated worker.
type simulatedAttempt struct {
	balancer *Balancer // that sent it
	request  RequestID
	number   int
	workLeft float64 // in ticks of a warm slot
}

// advance does some work on the attempt, in ticks of a warm slot, and returns how much of it was needed.
func (a *simulatedAttempt) advance(work float64) float64 {
	done := min(a.workLeft, work)
	a.workLeft -= done
	return done
}

func (a *simulatedAttempt) finished() bool { return a.workLeft <= 0 }

// loadMessage is a message between dispatchers on its way.
type loadMessage struct {
	dueAt Time
	from  PeerID
	to    PeerID
	load  WorkerLoad
}
