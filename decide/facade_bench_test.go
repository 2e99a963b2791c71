package decide

import (
	"context"
	"fmt"
	"testing"
)

// BenchmarkLandPickReport is the cost of one invocation's decisions without any contention: landing, picking,
// the start note and the report, beside invocations that stay open. Run it with
//
//	go test ./decide -run '^$' -bench LandPickReport -benchmem
func BenchmarkLandPickReport(b *testing.B) {
	for _, workers := range []int{16, 256, 4096} {
		for _, open := range []int{0, 4, 16} {
			b.Run(fmt.Sprintf("workers=%d/open=%d", workers, open), func(b *testing.B) {
				f := facadeWithOpen(b, workers, open)
				b.ReportAllocs()
				for b.Loop() {
					carry(b, f)
				}
			})
		}
	}
}

// facadeWithOpen has workers that are believed to have room for all that is open, and so many open on each. None
// of those comes to its time while the clock stands still.
func facadeWithOpen(b *testing.B, workers, open int) *Facade {
	f, _ := facadeOf(someTerms, workers)
	f.d.slots[0] = float64(open + 8)
	f.d.most[0] = f.d.slots[0]
	for range workers * open {
		t := f.Land(Landing{Grace: 1000 * Second, Hint: 100})
		c, err := t.Pick(context.Background())
		if err != nil || c.Do != Send {
			b.Fatal("not sent: ", c, err)
		}
		t.ReportStart(c.N)
	}
	return f
}

func carry(b *testing.B, f *Facade) {
	t := f.Land(Landing{Grace: 3 * Second, Hint: 100})
	c, err := t.Pick(context.Background())
	if err != nil || c.Do != Send {
		b.Fatal("not sent: ", c, err)
	}
	t.ReportStart(c.N)
	t.Report(c.N, Succeeded)
	if c, err = t.Pick(context.Background()); err != nil || c.Do != AnswerFound {
		b.Fatal("not answered: ", c, err)
	}
}
