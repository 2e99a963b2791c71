package decide

import (
	"context"
	"slices"
	"time"
)

// Adopted is an invocation that one process of this dispatcher hands to another, with the terms that it
// landed with.
type Adopted struct {
	Name      string  `json:"Name"`
	Objective Time    `json:"Objective"`
	Window    Time    `json:"Window"`
	ComeBack  Time    `json:"ComeBack"`
	Value     float64 `json:"Value"`
	Slack     float64 `json:"Slack"`
	Tardy     float64 `json:"Tardy"`
	Repeat    Repeat  `json:"Repeat"`
	Scope     Scope   `json:"Scope"`
	Kind      Kind    `json:"Kind"`

	Until    time.Time        `json:"Until"` // the client's
	Latest   Time             `json:"Latest"`
	Size     Work             `json:"Size"`
	Counts   float64          `json:"Counts"`
	Beyond   int              `json:"Beyond"`
	Most     int              `json:"Most"` // of the forwards that are allowed, those not to it
	Forwards []AdoptedForward `json:"Forwards"`
}

// AdoptedForward is one forward of it, by its number.
type AdoptedForward struct {
	Tgt     Worker `json:"Tgt"`
	Sent    Time   `json:"Sent"`
	Started Time   `json:"Started"`
	Out     bool   `json:"Out"`
	Ran     bool   `json:"Ran"`
}

// Hand takes an invocation out of the decisions, for another process to go on with. It holds only while it is
// open, with so many forwards out; Pick then returns HandOver.
func (t *Ticket) Hand(out int) (a Adopted, ok bool) {
	t.f.with(func(d *Dispatcher) {
		sends := slices.ContainsFunc(t.choices, func(c Choice) bool { return c.Do == Send })
		if t.over || t.out != out || sends {
			return
		}
		i := &d.invs[t.inv]
		o := &d.ops[i.op]
		ok = true
		a = Adopted{
			o.name, o.objective, o.window, o.comeBack, o.value, o.slack, o.tardy, o.repeat, o.scope, o.kind, t.until,
			i.latest, i.size, i.counts, i.beyond, d.forwardsMost, nil,
		}
		for _, f := range i.forwards {
			a.Forwards = append(a.Forwards, AdoptedForward{f.tgt, f.sent, f.started, f.out, f.ran})
		}
		t.over = true
		d.end(t.inv, -1)
		for n, f := range a.Forwards {
			if f.Out {
				t.ended(n, Moot)
			}
		}
		t.push(Choice{Do: HandOver})
	})
	return a, ok
}

// Adopt goes on with an invocation that another process has handed over. The contexts are those of its
// forwards that are out; each is to be reported by its number.
func (f *Facade) Adopt(a Adopted) (*Ticket, []context.Context) {
	t := &Ticket{f: f, ready: make(chan struct{}, 1), until: a.Until}
	contexts := make([]context.Context, len(a.Forwards))
	f.with(func(d *Dispatcher) {
		f.number(t)
		d.adopt(t.inv, a)
		for n, forward := range a.Forwards {
			contexts[n] = t.begin(a.Until)
			t.sent[n] = true
			if !forward.Out {
				t.reported[n] = true
				t.out--
				t.cancels[n](nil)
			}
		}
	})
	return t, contexts
}

func (d *Dispatcher) adopt(inv Inv, a Adopted) {
	d.invs = append(d.invs, make([]invocation, max(0, int(inv)+1-len(d.invs)))...)
	op := d.generation(a.operation())
	grace := Time(time.Until(a.Until) / (time.Second / Second))
	i := &d.invs[inv]
	*i = invocation{
		op: op, timeout: d.now + grace - d.margin, latest: a.Latest, size: a.Size, counts: a.Counts,
		forwards: i.forwards[:0], lane: both,
	}
	i.until, i.late = d.waits(op, a.Latest), d.now > a.Latest
	i.beyond = d.forwardsMost - min(a.Most-a.Beyond, d.forwardsMost)
	if len(d.cuts) > 0 {
		i.lane, _ = slices.BinarySearch(d.cuts, i.size+1)
	}
	d.addOpen(inv)
	for _, f := range a.Forwards {
		i.forwards = append(i.forwards,
			forward{tgt: f.Tgt, sent: f.Sent, started: f.Started, out: f.Out, ran: f.Ran})
		if !f.Out {
			continue
		}
		i.out++
		d.shift(f.Tgt, 1)
		if d.startNotes && f.Started == 0 {
			d.waiting[f.Tgt]++
		}
		d.note(f.Tgt)
	}
	if i.out == 0 {
		d.hold(inv)
	}
	d.room, d.sweepAt = true, min(d.sweepAt, d.now+d.patience, i.timeout)
}

// operation is the one that it landed with.
func (a *Adopted) operation() operation {
	return operation{
		name: a.Name, objective: a.Objective, window: a.Window, comeBack: a.ComeBack, value: a.Value,
		slack: a.Slack, tardy: a.Tardy, repeat: a.Repeat, scope: a.Scope, kind: a.Kind,
	}
}

// Adopt goes on with an invocation that another process has handed over, each instance in turn. All of them
// number its operation: else the next terms would have other numbers at one than at another.
func (s *Instances) Adopt(a Adopted) (*Ticket, []context.Context) {
	s.numbering.Lock()
	defer s.numbering.Unlock()
	for _, f := range s.each {
		f.with(func(d *Dispatcher) { d.generation(a.operation()) })
	}
	return s.next().Adopt(a)
}
