package decide

import "slices"

// Legacy is what a dispatcher has learnt, for a successor that goes on with it. Workers and zones keep their
// numbers; operations, customers and kinds stand in the order of the successor's terms, with nothing learnt
// of new ones.
type Legacy struct {
	Operations []LearntOperation `json:"Operations"`
	Customers  []LearntCustomer  `json:"Customers"`
	Kinds      []LearntKind      `json:"Kinds"`
	Zones      []LearntZone      `json:"Zones"`
	Workers    []LearntWorker    `json:"Workers"`

	Sample   []Work  `json:"Sample"`
	Sampled  int     `json:"Sampled"`
	Worth    float64 `json:"Worth"`
	Luck     float64 `json:"Luck"`
	BlindAt  Time    `json:"BlindAt"`
	Landings int     `json:"Landings"`
}

// LearntOperation is what was learnt of one operation.
type LearntOperation struct {
	Name    string  `json:"Name"`
	Longest Time    `json:"Longest"`
	Mean    float64 `json:"Mean"`
	Asked   float64 `json:"Asked"`
	Lost    float64 `json:"Lost"`
	Landed  int     `json:"Landed"`
	Run     float64 `json:"Run"`
	Runs    int     `json:"Runs"`
}

// LearntCustomer is the traffic of one customer here.
type LearntCustomer struct {
	Used float64 `json:"Used"`
	At   Time    `json:"At"`
}

// LearntKind is what was learnt of the slots of a kind; Slots is 0 for nothing.
type LearntKind struct {
	Slots float64 `json:"Slots"`
	Most  float64 `json:"Most"`
	Votes []int   `json:"Votes"`
}

// LearntZone is what failures have shown of one zone.
type LearntZone struct {
	Quiet int  `json:"Quiet"`
	At    Time `json:"At"`
}

// LearntWorker is what is known of one worker beside the list.
type LearntWorker struct {
	Fails   int        `json:"Fails"`
	Ruined  bool       `json:"Ruined"` // what failed may have run
	TrialAt Time       `json:"TrialAt"`
	OpenAt  Time       `json:"OpenAt"`
	Heard   []Heard    `json:"Heard"`
	Spent   []Spending `json:"Spent"`
}

// Heard is what a peer last told of a worker.
type Heard struct {
	From     Peer `json:"From"`
	InFlight int  `json:"InFlight"`
	At       Time `json:"At"`
}

// Spending is work sent to a worker at a time.
type Spending struct {
	At   Time `json:"At"`
	Work Work `json:"Work"`
}

// Legacy is what was learnt here.
func (f *Facade) Legacy() Legacy {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.d
	l := Legacy{
		Sample: append([]Work(nil), d.sample...), Sampled: d.sampled, Worth: d.worth, Luck: d.luck,
		BlindAt: d.blindAt, Landings: d.landings,
	}
	for _, o := range d.ops {
		l.Operations = append(l.Operations, LearntOperation{
			o.name, o.longest, o.mean, o.asked, o.lost, o.landed,
			o.run, o.runs,
		})
	}
	for c := range d.used {
		l.Customers = append(l.Customers, LearntCustomer{d.used[c], d.usedAt[c]})
	}
	for k := range d.slots {
		l.Kinds = append(l.Kinds, LearntKind{d.slots[k], d.most[k], append([]int(nil), d.votes[k]...)})
	}
	for z := range d.quiet {
		l.Zones = append(l.Zones, LearntZone{d.quiet[z], d.zoneAt[z]})
	}
	for w := range d.hash {
		learnt := LearntWorker{Fails: d.fails[w], Ruined: d.ruined[w], TrialAt: d.trialAt[w], OpenAt: d.openAt[w]}
		for _, h := range d.heard[w] {
			learnt.Heard = append(learnt.Heard, Heard{h.from, h.inFlight, h.at})
		}
		for _, s := range d.spent[w] {
			learnt.Spent = append(learnt.Spent, Spending{s.at, s.work})
		}
		l.Workers = append(l.Workers, learnt)
	}
	return l
}

// Inherit goes on with what a predecessor has learnt. The list has to be known, and nothing may have landed
// yet.
func (f *Facade) Inherit(l Legacy) {
	f.with(func(d *Dispatcher) { d.inherit(l) })
}

func (d *Dispatcher) inherit(l Legacy) {
	d.sample, d.sampled, d.worth, d.luck = l.Sample, l.Sampled, l.Worth, l.Luck
	d.blindAt, d.landings, d.probeAt = l.BlindAt, l.Landings, l.Landings
	if len(d.sample) > 0 {
		d.cut()
	}
	for _, was := range l.Operations { // of one with other terms before, the last
		o := slices.IndexFunc(d.ops, func(o operation) bool { return o.name == was.Name })
		if o < 0 {
			continue
		}
		op := &d.ops[o]
		op.longest, op.mean, op.asked, op.lost, op.landed = was.Longest, was.Mean, was.Asked, was.Lost, was.Landed
		op.run, op.runs = was.Run, was.Runs
	}
	for c := range d.used[:min(len(d.used), len(l.Customers))] {
		d.used[c], d.usedAt[c] = l.Customers[c].Used, l.Customers[c].At
	}
	for k := range d.slots[:min(len(d.slots), len(l.Kinds))] {
		if was := l.Kinds[k]; was.Slots > 0 {
			d.votes[k], d.most[k] = was.Votes, was.Most
			d.believe(Kind(k), was.Slots)
		}
	}
	for z := range d.quiet[:min(len(d.quiet), len(l.Zones))] {
		d.quiet[z], d.zoneAt[z] = l.Zones[z].Quiet, l.Zones[z].At
	}
	for w := range d.hash[:min(len(d.hash), len(l.Workers))] {
		d.inheritWorker(Worker(w), l.Workers[w])
	}
}

func (d *Dispatcher) inheritWorker(w Worker, was LearntWorker) {
	d.fails[w], d.trialAt[w], d.openAt[w] = was.Fails, was.TrialAt, was.OpenAt
	d.ruined[w] = was.Ruined
	for _, h := range was.Heard {
		d.Heard(h.From, Load{w, h.InFlight})
		d.heard[w][len(d.heard[w])-1].at = h.At
	}
	for _, s := range was.Spent {
		d.spent[w] = append(d.spent[w], spend{at: s.At, work: s.Work, told: true})
	}
}

// Legacy is what each instance has learnt.
func (s *Instances) Legacy() (all []Legacy) {
	for _, f := range s.each {
		all = append(all, f.Legacy())
	}
	return all
}

// Recall goes on with what the instances of an earlier life have learnt; with other instances, each with what
// the first one had.
func (s *Instances) Recall(all []Legacy) bool {
	if len(all) == 0 {
		return false
	}
	for n, f := range s.each {
		l := all[0]
		if len(all) == len(s.each) {
			l = all[n]
		}
		f.Inherit(l)
	}
	return true
}

// Inherit goes on with what a predecessor's instances have learnt; it does nothing where they were not as
// many.
func (s *Instances) Inherit(all []Legacy) bool {
	if len(all) != len(s.each) {
		return false
	}
	for n, f := range s.each {
		f.Inherit(all[n])
		f.with(func(d *Dispatcher) { d.unsure = false }) // the list is the predecessor's, who follows it
	}
	return true
}
