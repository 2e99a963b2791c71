package decide

import (
	"fmt"
	"hash/fnv"
	"iter"
	"slices"
)

type operation struct {
	objective, window, longest, comeBack     Time    // longest: the longest grace seen, a first try's
	tardy                                    float64 // the share of its billed value that a late answer earns
	value, mean, density, asked, lost, slack float64 // mean: of the sizes landed
	landed, runs                             int
	run                                      float64 // how long what succeeded took, a running mean
	repeat                                   Repeat
	name                                     string
	scope                                    Scope
	kind                                     Kind
}

func newOperation(t Terms, o OperationTerms) operation {
	op := operation{
		objective: o.Objective, slack: max(o.Stretch-1, 0), window: o.Window, name: o.Name,
		value: o.Value, repeat: o.Repeat, scope: o.Scope, kind: o.Kind, tardy: o.TardyShare,
	}
	if t.ComeBack && o.TardyShare > 0 { // a late answer still earns: better after the crush than soon
		op.comeBack = t.ComeBackMost
	}
	return op
}

// waits is until when an invocation waits for its start: as long as that may keep the latency objective. Where nothing
// tells which workers have room, that none has it now says little: a client that comes again waits as long as one
// that comes first, if a late answer earns something.
func (d *Dispatcher) waits(op Operation, latest Time) Time {
	if o := &d.ops[op]; o.tardy > 0 && !d.peers && d.atFree < 0 {
		return max(latest, d.now+o.objective)
	}
	return latest
}

type forward struct {
	tgt           Worker
	sent, started Time
	taken         Time // when its worker was heard to have it, 0 before that
	out, ran      bool // ran: it is over and may have run
}

type invocation struct {
	op              Operation
	over            bool
	counts          float64 // less than 1 beyond its customer's share
	latest, timeout Time    // the last start that may keep the latency objective, the last final answer
	until           Time    // the last start that is waited for: later than latest where a late answer earns
	late            bool    // it is worth what a late answer earns
	size            Work
	lane            int
	forwards        []forward
	out, beyond     int  // beyond: forwards allowed since it landed, and not to it
	held            bool // it waits for a worker
	place           int  // in what is open
}

type spend struct {
	at   Time
	work Work
	told bool // by another process of this dispatcher
}

// hearing is what a peer last told of a worker.
type hearing struct {
	from     Peer
	inFlight int
	at       Time
}

// The parts of a dispatcher: one a lane, that of all lanes, and the whole ring.
const (
	both = lanes + iota
	all
	parts
)

// Dispatcher decides for one instance.
type Dispatcher struct {
	link          Link
	now           Time
	seed, chances uint64

	// Figures derived at the start.
	ops                         []operation
	zone                        Zone
	share, coldFrom, multiple   float64
	surplusShare, crossing      float64
	unit                        float64 // the work that one part of a cold worker's budget should hold
	margin, askWithin, spread   Time    // spread: over which the dispatchers' calls for the list are spread
	firstSpread, againWithin    Time    // of first calls; the longest wait after a call that failed
	takes                       bool    // the network tells when a worker has a forward
	listFirst                   bool    // nothing is sent by a list from before the start, until a call has ended
	ramp, span, patience        Time
	forwardsMost, keepers       int
	position, dispatchers       int
	every                       Time // between messages that repeat, a mean run
	askForList, cancels, copies bool
	worst                       Operation // the one that lost the largest share
	worth, worstWeight          float64   // half its weight: losses come bunched, and weigh on a stretch too
	perInv                      float64   // 1 if billed value is for each invocation, 0 if for work
	probes, peers, startNotes   bool
	atInFlight, atQueue, atFree int
	quota                       []float64 // by Customer: landings a second here that count in full

	// What is open, and which of it waits for a worker.
	invs      []invocation
	open      landed
	held      []Inv
	customers []string  // their names
	used      []float64 // by Customer: landings, the older the less
	usedAt    []Time

	// Figures about workers, by Worker.
	hash                        []uint64
	workerZone                  []Zone
	kind                        []Kind
	cell                        []Cell
	state                       []State
	born, trialAt, openAt       []Time // nothing goes there before: after a failure, in a queue
	endedAt, aliveAt            []Time // when a process was seen to have ended, and the next one heard
	own, waiting, others, fails []int
	ruined                      []bool // what failed there since the last success may have run
	proved                      []Work // the largest that it has done at the pace of a warm one
	toldOf                      []int  // what peers last were told
	spent                       [][]spend
	credit                      []float64 // forwards that a cold one may get now from here, without messages
	creditAt                    []int     // the count of firsts at which it was reckoned
	saves                       []bool    // it is reckoned, since the start that the list tells of
	ring                        []Worker  // those listed, by hash

	elder, young []bool // by Peer: it has lived longer than we; it has not
	alike        Time   // since when this one is back, where all lost power

	quiet  []int  // by Zone: forwards in a row that broke or found nobody there
	zoneAt []Time // by Zone: nothing goes there before it
	reach  []Time // by Zone: until a worker there was heard to have what was sent, a running mean

	heard [][]hearing
	keep  [][2]int // the peers to be told: from, to, round the number of them
	parts [parts][]Worker
	seats [parts]seats

	slots, most []float64 // by Kind: slots believed, and the most seen at work
	votes       [][]int   // by Kind and load: starts at once less waits

	// Lanes.
	sample  []Work
	sampled int
	median  Work
	cuts    []Work
	turn    [parts]int

	// When rules are due.
	room                     bool // something has changed that may let a held invocation go
	sweepAt, tellAt          Time
	refreshAt, askAt, wakeAt Time
	luck                     float64 // share of late reports with a slot free
	blindAt                  Time    // no forward before it to workers that peers do not tell of
	subscribed, answered     bool    // the list is followed; it has been, since the start
	busy                     int     // calls in a row that were turned away after a wait: there are too many
	haste                    Time    // 2 after a watch that fell silent and was given up some time later, else 1
	unsure                   bool    // the list is from before the start, and no call for it has ended
	followed                 Time    // since when
	asks, landings, probeAt  int     // probeAt: the count of landings
	firsts                   int     // of landings: those of a client's first try
	strong                   float64 // warm workers that all who are healthy are worth together
	strongAt                 Time    // since when that was so
	changed                  []Worker
}

// New makes a dispatcher, which has no list yet.
func New(t Terms, seed uint64, link Link) *Dispatcher {
	d := &Dispatcher{
		link: link, seed: seed, zone: t.Zone, share: 1 / float64(t.Dispatchers),
		coldFrom: t.ColdFrom, multiple: t.FallMultiple, ramp: t.Ramp, span: t.FallSpan,
		crossing: t.CrossCost, surplusShare: t.SurplusShare, margin: 2*t.Granularity + Second/1000,
		askWithin: t.AskWithin, forwardsMost: t.ForwardsMost, askForList: t.AskForList,
		cancels: t.MayCancel, copies: t.Copies, probes: t.Probes && t.ReportsOnProbe,
		peers: t.Peers && t.Dispatchers > 1, startNotes: t.StartNotes, votes: make([][]int, t.Kinds),
		takes: t.Takes, perInv: t.ValueByInvocation, worstWeight: t.WorstOperation / 2, luck: 1, worst: -1, tellAt: never,
		position: t.Position, dispatchers: t.Dispatchers, keepers: t.Dispatchers, every: 2 * Second,
		atInFlight: t.ReportInFlight, atQueue: t.ReportQueue, atFree: t.ReportFree, wakeAt: never, patience: never, haste: 1,
	}
	d.spread = min(t.AskWithin*Time(t.Dispatchers)/askEvery, Time(askSpread*float64(t.AskWithin)))
	if d.firstSpread, d.againWithin = d.spread, t.AskWithin*4/5; t.ToldWithin > 0 {
		d.firstSpread, d.againWithin = min(d.spread, t.ToldWithin/3), min(d.againWithin, t.ToldWithin*2/3)
		d.listFirst = true
	}
	if d.peers && t.TellCost > 0 { // told of each forward twice
		d.keepers = min(max(int(tellMost/(2*t.TellCost)), 1), t.Dispatchers)
	}
	for _, o := range t.Operations {
		d.ops = append(d.ops, newOperation(t, o))
		d.patience = min(d.patience, o.Objective/10)
		d.unit += max(float64(o.Objective), 1) / float64(len(t.Operations))
	}
	for _, c := range t.Customers {
		d.customers = append(d.customers, c.Name)
		d.quota, d.used, d.usedAt = append(d.quota, c.Quota*d.share), append(d.used, 0), append(d.usedAt, 0)
	}
	d.slots, d.most = slices.Repeat([]float64{slotsFirst}, t.Kinds), slices.Repeat([]float64{1}, t.Kinds)
	for l := range d.turn {
		d.turn[l] = int(d.chance() % (1 << 20))
	}
	return d
}

// addWorker makes room for the figures about one more.
func (d *Dispatcher) addWorker() {
	d.hash, d.workerZone, d.kind = append(d.hash, 0), append(d.workerZone, 0), append(d.kind, 0)
	d.cell, d.state, d.born = append(d.cell, 0), append(d.state, Gone), append(d.born, 0)
	d.own, d.waiting, d.others = append(d.own, 0), append(d.waiting, 0), append(d.others, 0)
	d.fails, d.spent, d.trialAt = append(d.fails, 0), append(d.spent, nil), append(d.trialAt, 0)
	d.openAt, d.credit, d.creditAt = append(d.openAt, 0), append(d.credit, 0), append(d.creditAt, 0)
	d.saves, d.ruined = append(d.saves, false), append(d.ruined, false)
	d.endedAt, d.aliveAt, d.proved = append(d.endedAt, 0), append(d.aliveAt, 0), append(d.proved, 0)
	d.heard, d.keep, d.toldOf = append(d.heard, nil), append(d.keep, [2]int{}), append(d.toldOf, 0)
}

// meet takes what a peer's message tells of its age: news of forwards out, or that it has just started.
func (d *Dispatcher) meet(from Peer, started bool) {
	if short := int(from) + 1 - len(d.elder); short > 0 {
		d.elder, d.young = append(d.elder, make([]bool, short)...), append(d.young, make([]bool, short)...)
	}
	d.young[from] = d.young[from] || started
	d.elder[from] = !d.young[from]
}

// keeping goes through the other dispatchers that have a worker in their part.
func (d *Dispatcher) keeping(w Worker) iter.Seq[Peer] {
	return func(yield func(Peer) bool) {
		for p := d.keep[w][0]; p < d.keep[w][1]; p++ {
			if peer := p % d.dispatchers; peer != d.position && !yield(Peer(peer)) {
				return
			}
		}
	}
}

// chance is the next figure drawn from the seed.
func (d *Dispatcher) chance() uint64 {
	d.chances++
	h := fnv.New64a()
	fmt.Fprint(h, d.seed, "/", d.chances)
	return h.Sum64()
}
