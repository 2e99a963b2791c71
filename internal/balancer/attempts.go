package balancer

// attempt is one attempt of a request. Attempts of a request are numbered 0, 1, 2... as they are sent.
type attempt struct {
	worker      WorkerID
	sentAt      Time
	startedAt   Time // when its worker reported the start, or notYet
	deliveredAt Time // when its worker was seen to have it, or notYet
	inFlight    bool
	mayHaveRun  bool // it has ended, and may have been executed
}

// notYet stands for the moment of something that has not happened.
const notYet = LongAgo

// mayRun reports whether the attempt may have run, runs, or may still run.
func (a *attempt) mayRun() bool { return a.inFlight || a.mayHaveRun }

// ranFor returns how long an attempt has taken that succeeds now: since its start if that was reported.
func (a *attempt) ranFor(now Time) Duration { return now.Sub(max(a.sentAt, a.startedAt)) }
