package balancer

// maxObserved is the most attempts seen running at once at a worker, by KindID.
func (b *Balancer) maxObserved() (slots []float64) {
	for _, kind := range b.slots.kinds {
		slots = append(slots, kind.maxObserved)
	}
	return slots
}

// Capacity is what the workers that take attempts can run at once.
type Capacity struct {
	Workers      int     // that take attempts
	WarmSlots    float64 // of all of them, once they are warm
	CurrentSlots float64 // the same, at their present warm-up
}

// capacity adds up the capacity of the workers that take attempts.
func (b *Balancer) capacity() (total Capacity) {
	for _, id := range b.subsetting.ring {
		worker := &b.workers[id]
		if worker.state != Healthy || b.isEjected(worker) {
			continue
		}
		slots := b.maxObservedSlots(id)
		total.Workers++
		total.WarmSlots += slots
		total.CurrentSlots += b.confirmedWarmup(id, b.sizes.median) * slots
	}
	return total
}

// isEjected tells whether failures keep attempts from a worker now.
func (b *Balancer) isEjected(worker *worker) bool {
	return worker.consecutiveFailures > 0 && b.now < worker.probeAfter
}

// workerCounts counts the listed workers, and of them those that are ejected, alone or with their zone.
func (b *Balancer) workerCounts() (listed, ejected int) {
	for _, id := range b.subsetting.ring {
		worker := &b.workers[id]
		if worker.state == Healthy && (b.isEjected(worker) || b.now < b.zones[worker.zone].ejectedUntil) {
			ejected++
		}
	}
	return len(b.subsetting.ring), ejected
}

// MaxObserved is the most attempts that the first shard has seen running at once at a worker, by KindID.
func (s *Shards) MaxObserved() (slots []float64) {
	s.first().read(func(b *Balancer) { slots = b.maxObserved() })
	return slots
}

// Capacity returns the capacity of the workers that take attempts, as the first shard sees them.
func (s *Shards) Capacity() (total Capacity) {
	s.first().read(func(b *Balancer) { total = b.capacity() })
	return total
}

// MedianSize is the size that the first shard takes for a request without a hint.
func (s *Shards) MedianSize() (size Work) {
	s.first().read(func(b *Balancer) { size = b.sizes.median })
	return size
}
