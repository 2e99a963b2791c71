package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule is one of the four.
type Rule string

// The values of Rule.
const (
	RuleNoneLost   Rule = "no invocation lost"
	RuleNoneTwice  Rule = "no effect twice"
	RuleDrains     Rule = "drains kept"
	RuleColdBudget Rule = "no cold worker pushed over"
)

// Rules are all four, in their order.
var Rules = [...]Rule{RuleNoneLost, RuleNoneTwice, RuleDrains, RuleColdBudget}

// Breach is a rule that was broken, and by what.
type Breach struct {
	Rule       Rule          `json:"rule"`
	ID         string        `json:"invocation,omitempty"`
	Operation  string        `json:"operation,omitempty"`
	Dispatcher int           `json:"dispatcher"` // numbers, -1 where there is none
	Worker     int           `json:"worker"`
	At         time.Duration `json:"at_ns"` // from the experiment's start
	What       string        `json:"what"`
}

// Repeat says how far an operation may run again.
type Repeat struct {
	Name                           string
	Idempotent, Once               bool // neither: it is deduplicated
	ScopeAll, ScopeZone, ScopeCell bool // the group that drops repeats
	Window                         time.Duration
}

// Place is where a worker stands.
type Place struct{ Zone, Cell int }

// Terms are what the rules are judged by.
type Terms struct {
	Operations []Repeat
	Workers    []Place       // by worker
	Grace      time.Duration // of a drain
	Slack      time.Duration // that each time limit is longer by, for the machine's own delays
	Keys       bool          // dispatchers keep keys through their own end
}

// Judge names every breach, in the order of time.
func (l *Ledger) Judge(t Terms) []Breach {
	l.mu.Lock()
	defer l.mu.Unlock()
	breaches := slices.Clone(l.strange)
	for _, try := range l.tries {
		breaches = append(breaches, l.lost(try)...)
		breaches = append(breaches, t.twice(try)...)
	}
	breaches = append(breaches, l.drains(t)...)
	if t.Keys {
		breaches = append(breaches, l.keys(t)...)
	}
	for _, f := range l.falls {
		breaches = append(breaches, Breach{
			Rule: RuleColdBudget, ID: f.ID, Dispatcher: f.Dispatcher,
			Worker: f.Worker, At: f.At,
			What: fmt.Sprintf("%v of work within the span, where it bears %v: %s",
				f.Sent.Round(time.Millisecond), f.Bound.Round(time.Millisecond), f.What),
		})
	}
	for n, b := range breaches {
		if try := l.byID[b.ID]; try != nil && try.Operation < len(t.Operations) {
			breaches[n].Operation = t.Operations[try.Operation].Name
		}
	}
	slices.SortStableFunc(breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return breaches
}

// away tells whether the dispatcher was gone or stood still at some time from one to another.
func (l *Ledger) away(dispatcher int, from, to time.Duration) bool {
	return slices.ContainsFunc(l.outages, func(o Outage) bool {
		return o.Dispatcher == dispatcher && !o.Planned && o.From <= to && o.To >= from
	})
}

// lost judges rule 1: what a running dispatcher has taken gets one whole answer in time, and a success
// carries what a worker made for this very invocation.
func (l *Ledger) lost(try *Try) []Breach {
	breach := func(what string) []Breach {
		return []Breach{{
			Rule: RuleNoneLost, ID: try.ID, Dispatcher: try.Dispatcher, Worker: -1,
			At: max(try.Ended, try.Sent), What: what,
		}}
	}
	made := func(f *Forward) bool { return f.Result == try.Result && f.Result != "" }
	read := func(f *Forward) bool {
		return f.First < try.Crossed && !l.away(try.Dispatcher, f.First, try.Crossed)
	}
	switch {
	case slices.ContainsFunc(try.Forwards, read):
		return breach("its kept connection ended with no answer, though it had been forwarded")
	case try.Kind == Succeeded && !slices.ContainsFunc(try.Forwards, made):
		return breach(fmt.Sprintf("answered with %.60q, which no worker made for it", try.Result))
	case try.Sent == 0, try.Kind == Interrupted, l.away(try.Dispatcher, try.Sent, max(try.Ended, try.Sent)):
		return nil
	case try.Kind == Broken:
		return breach("its connection ended with no whole answer")
	case try.Kind == Unanswered && try.Ended >= try.Deadline:
		return breach("no answer before the client gave up")
	}
	return nil
}

// twice judges rule 2 for one invocation.
func (t Terms) twice(try *Try) (breaches []Breach) {
	o, forwards := &t.Operations[try.Operation], slices.Clone(try.Forwards)
	slices.SortStableFunc(forwards, func(a, b *Forward) int { return cmp.Compare(a.First, b.First) })
	for n, f := range forwards {
		for _, earlier := range forwards[:n] {
			if earlier.First < try.Crossed && f.First >= try.Crossed {
				continue // its client has sent it anew: judged as lost
			}
			if what := t.repeated(o, earlier, f); what != "" {
				breaches = append(breaches, Breach{
					Rule: RuleNoneTwice, ID: try.ID, Dispatcher: f.Dispatcher,
					Worker: f.Worker, At: f.Whole, What: what,
				})
				break
			}
		}
	}
	if try.Kind != Throttled || o.Idempotent || !o.Once && o.ScopeAll {
		return breaches
	}
	for _, f := range forwards {
		if f.First < try.Crossed {
			continue // sent anew by its client since, and judged as lost: a dispatcher that died has read no more of it
		}
		if f.Whole < try.Ended && !f.neverRan(try.Ended) {
			return append(breaches, Breach{
				Rule: RuleNoneTwice, ID: try.ID, Dispatcher: f.Dispatcher,
				Worker: f.Worker, At: try.Ended, What: "throttled, though a forward may have run",
			})
		}
	}
	return breaches
}

// repeated tells what is wrong with one more forward after an earlier one, if anything.
func (t Terms) repeated(o *Repeat, earlier, f *Forward) string {
	if o.Idempotent || earlier.neverRan(f.First) {
		return ""
	}
	if o.Once {
		return fmt.Sprintf("forwarded again, though worker %d may have run it", earlier.Worker)
	}
	a, b := t.Workers[earlier.Worker], t.Workers[f.Worker]
	if !o.ScopeAll && (!o.ScopeZone || a.Zone != b.Zone) && (!o.ScopeCell || a.Cell != b.Cell) {
		return fmt.Sprintf("forwarded outside the dedup group of worker %d, which may have run it", earlier.Worker)
	}
	if f.First > earlier.Whole+o.Window {
		return "forwarded again after the dedup window"
	}
	return ""
}

// drains judges rule 3: from the grace after a dispatcher was told, no first byte comes from it.
func (l *Ledger) drains(t Terms) (breaches []Breach) {
	type pair struct{ dispatcher, worker int }
	told := map[pair][]Notice{}
	for _, n := range l.notices {
		told[pair{n.Dispatcher, n.Worker}] = append(told[pair{n.Dispatcher, n.Worker}], n)
	}
	for _, notices := range told {
		slices.SortStableFunc(notices, func(a, b Notice) int { return cmp.Compare(a.At, b.At) })
	}
	for _, try := range l.tries {
		for _, f := range try.Forwards {
			since, barred := time.Duration(0), false
			for _, n := range told[pair{f.Dispatcher, f.Worker}] {
				switch {
				case n.At > f.First:
				case n.Ready:
					barred = false
				case !barred:
					since, barred = n.At, true
				}
			}
			if late := f.First - since; barred && late > t.Grace+t.Slack {
				breaches = append(breaches, Breach{
					Rule: RuleDrains, ID: try.ID, Dispatcher: f.Dispatcher,
					Worker: f.Worker, At: f.First, What: fmt.Sprintf("sent %v after the dispatcher was told that "+
						"the worker drains or is gone", late.Round(time.Millisecond)),
				})
			}
		}
	}
	return breaches
}
