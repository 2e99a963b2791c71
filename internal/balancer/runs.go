package balancer

// observeRun takes how long a piece of work ran for the mean of its operation.
func (o *operation) observeRun(took Time) {
	if o.runs++; took > 0 {
		o.meanRun += max(learningRate/4, 1/float64(o.runs)) * (float64(took) - o.meanRun)
	}
}

// meanRunTime is how long work of an operation runs: by its hints, or, where none come, by what has run. It
// guards against workers that are full and would be tried again at once, as their work seems to take no time.
func (d *Balancer) meanRunTime(op OperationID) Time {
	if o := &d.operations.byID[op]; o.meanSize < 1 {
		return Time(o.meanRun)
	}
	return Time(d.operations.byID[op].meanSize)
}
