package balancer

// Capacity describes how many attempts the healthy workers that are not individually ejected can run at once. It
// includes the workers of an ejected zone, which WorkerCounts counts as ejected.
type Capacity struct {
	Workers      int     // healthy workers that are not individually ejected
	WarmSlots    float64 // their slots once all of them are warm
	CurrentSlots float64 // their slots at the current warm-up factors
}

// capacity returns the capacity of the healthy workers that are not individually ejected.
func (b *Balancer) capacity() (total Capacity) {
	for _, id := range b.subsetting.ring {
		w := &b.workers[id]
		if w.state != Healthy || w.health.Ejected(b.now) {
			continue
		}
		slots := b.maxObservedSlots(id)
		total.Workers++
		total.WarmSlots += slots
		total.CurrentSlots += b.confirmedWarmupFactor(id, b.sizes.Median()) * slots
	}
	return total
}

// MaxObservedSlots returns the most attempts that the first shard has observed running at once at a worker, by KindID.
func (s *Shards) MaxObservedSlots() (slots []float64) {
	s.firstPicker().read(func(b *Balancer) { slots = b.maxObserved() })
	return slots
}

// Capacity returns the capacity of the healthy workers that are not individually ejected, according to the first
// shard.
func (s *Shards) Capacity() (total Capacity) {
	s.firstPicker().read(func(b *Balancer) { total = b.capacity() })
	return total
}

// MedianSize returns the size that the first shard assumes for a request without a hint. It is 0 before the first
// hints.
func (s *Shards) MedianSize() (size Work) {
	s.firstPicker().read(func(b *Balancer) { size = b.sizes.Median() })
	return size
}
