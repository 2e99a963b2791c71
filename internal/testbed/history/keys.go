package history

import (
	"cmp"
	"fmt"
	"slices"
)

// RuleKeys is what dispatchers that keep a state promise beside the four rules: a repeat that its client marks,
// under a key that went out before its dispatcher came back, goes to that one's dedup group or nowhere.
const RuleKeys Rule = "keys kept through an end"

// keys judges that, over all tries under one key. A dispatcher that was never away has promised nothing: it goes
// by what the first try's client was told.
func (l *Ledger) keys(t Terms) (breaches []Breach) {
	tries := map[uint64][]*Try{}
	for _, try := range l.tries {
		if o := &t.Operations[try.Operation]; try.Keyed && (o.ScopeZone || o.ScopeCell) {
			tries[try.Key] = append(tries[try.Key], try)
		}
	}
	for _, same := range tries {
		slices.SortStableFunc(same, func(a, b *Try) int { return cmp.Compare(a.ID, b.ID) })
		for n, later := range same {
			for _, earlier := range same[:n] {
				breaches = append(breaches, l.across(t, earlier, later)...)
			}
		}
	}
	return breaches
}

func (l *Ledger) across(t Terms, earlier, later *Try) (breaches []Breach) {
	o := &t.Operations[later.Operation]
	for _, f := range later.Forwards {
		for _, e := range earlier.Forwards {
			back := slices.ContainsFunc(l.outages, func(a Outage) bool {
				return a.Dispatcher == f.Dispatcher && e.Whole < a.From && a.To-backSlack <= f.First
			})
			if !later.Again || !back || f.First > e.Whole+o.Window-t.Slack {
				continue
			}
			if what := t.repeated(o, e, f); what != "" {
				breaches = append(breaches, Breach{
					Rule: RuleKeys, ID: later.ID, Dispatcher: f.Dispatcher,
					Worker: f.Worker, At: f.First, What: fmt.Sprintf("%s, under the key of %s", what, earlier.ID),
				})
			}
		}
	}
	return breaches
}

// backSlack is by how much an outage's end is told too late.
const backSlack = 300_000_000
