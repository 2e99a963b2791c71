package decide

type operation struct {
	objective, window, longest  Time    // longest: the longest grace seen, a first try's
	stretch, value, tardy, mean float64 // mean: of the sizes landed
	landed                      int
	repeat                      Repeat
	scope                       Scope
	kind                        Kind
}

type forward struct {
	tgt           Worker
	sent, started Time
	out, ran      bool // ran: it is over and may have run
}

type invocation struct {
	op                   Operation
	over                 bool
	surplus              bool // beyond its customer's share
	due, latest, timeout Time // the latency objective, the latest start that keeps it, the latest final answer
	size                 Work
	lane                 int
	forwards             []forward
	out, place           int
}

type spend struct {
	at   Time
	work Work
}

// Dispatcher decides for one instance.
type Dispatcher struct {
	link                                                   Link
	now                                                    Time
	seed, chances                                          uint64
	ops                                                    []operation
	quota, used                                            []float64 // a customer's share of this dispatcher's landings a second, and its use of it
	usedAt                                                 []Time
	zone                                                   Zone
	surplusShare, share, coldFrom, multiple, crossing      float64
	margin, askWithin, comeBack, ramp, span, patience      Time
	forwardsMost                                           int
	askForList, cancels, copies, probes, peers, startNotes bool
	atInFlight, atQueue, atFree                            int

	invs       []invocation
	open, held []Inv

	// figures about workers, by Worker
	hash                        []uint64
	workerZone                  []Zone
	kind                        []Kind
	cell                        []Cell
	state                       []State
	born, downUntil, trialAt    []Time
	own, waiting, others, fails []int
	pace                        []float64
	spent                       [][]spend
	ring                        []Worker
	slots, most                 []float64 // by Kind: slots believed, and the most seen at work
	peerLoad                    [][]int   // by Peer and Worker
	peerAt                      []Time
	slow                        int // workers slower than the fleet
	waitingInTime               bool

	sample    []Work
	sampled   int
	median    Work
	cuts      []Work
	turn      [lanes + 1]int
	fleetPace float64

	room                                               bool
	sweepAt, wakeAt, probeAt, tellAt, refreshAt, askAt Time
	subscribed                                         bool
	asks                                               int
	probeNext                                          int
	changed                                            []Worker
	loads                                              []Load
}
