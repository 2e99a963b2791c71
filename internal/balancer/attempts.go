package balancer

// attempt is one attempt of a request. The attempts of a request are numbered from 0 in the order in which they are
// sent.
type attempt struct {
	worker      WorkerID
	sentAt      Time
	startedAt   Time // when its worker reported the start, or notYet
	deliveredAt Time // when its worker was reported to have received it, or notYet
	inFlight    bool
	mayHaveRun  bool // it has ended, and may have been executed
}

// notYet is the timestamp of an event that has not happened.
const notYet = DistantPast

// mayRun reports whether the attempt may have been executed or may still be executed.
func (a *attempt) mayRun() bool { return a.inFlight || a.mayHaveRun }

// runTime returns the run time of an attempt that succeeds now, measured from its reported start, or from its send
// time if no start was reported.
func (a *attempt) runTime(now Time) Duration { return now.Sub(max(a.sentAt, a.startedAt)) }
