package balancer

// Capacity is what the workers that take attempts can run at once.
type Capacity struct {
	Workers      int     // that take attempts
	WarmSlots    float64 // of all of them, once they are warm
	CurrentSlots float64 // the same, at their present warm-up
}

// capacity adds up the capacity of the workers that take attempts.
func (b *Balancer) capacity() (total Capacity) {
	for _, id := range b.subsetting.ring {
		w := &b.workers[id]
		if w.state != Healthy || w.health.Ejected(b.now) {
			continue
		}
		slots := b.maxObservedSlots(id)
		total.Workers++
		total.WarmSlots += slots
		total.CurrentSlots += b.confirmedWarmup(id, b.sizes.Median()) * slots
	}
	return total
}

// MaxObserved returns the most attempts that the first shard has seen running at once at a worker, by KindID.
func (s *Shards) MaxObserved() (slots []float64) {
	s.firstPicker().read(func(b *Balancer) { slots = b.maxObserved() })
	return slots
}

// Capacity returns the capacity of the workers that take attempts, as the first shard sees them.
func (s *Shards) Capacity() (total Capacity) {
	s.firstPicker().read(func(b *Balancer) { total = b.capacity() })
	return total
}

// MedianSize returns the size that the first shard takes for a request without a hint, 0 before the first hints.
func (s *Shards) MedianSize() (size Work) {
	s.firstPicker().read(func(b *Balancer) { size = b.sizes.Median() })
	return size
}
