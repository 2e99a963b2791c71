package balancer

// maxObserved is the most attempts seen running at once at a worker, by KindID.
func (b *Balancer) maxObserved() (slots []float64) {
	for _, kind := range b.slots.kinds {
		slots = append(slots, kind.maxObserved)
	}
	return slots
}

// capacity counts the workers that take attempts, and the slots that they have when all are warm and as warm as they
// are now.
func (b *Balancer) capacity() (workers int, warm, current float64) {
	for _, id := range b.subsetting.ring {
		worker := &b.workers[id]
		if worker.state != Healthy || b.isEjected(worker) {
			continue
		}
		slots := b.maxObservedSlots(id)
		workers++
		warm += slots
		current += b.confirmedWarmup(id, b.sizes.median) * slots
	}
	return workers, warm, current
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

// Capacity counts the workers that take attempts, as the first shard sees them, and the slots that they have when all
// are warm and as warm as they are now.
func (s *Shards) Capacity() (workers int, warm, current float64) {
	s.first().read(func(b *Balancer) { workers, warm, current = b.capacity() })
	return workers, warm, current
}

// MedianSize is the size that the first shard takes for a request without a hint.
func (s *Shards) MedianSize() (size Work) {
	s.first().read(func(b *Balancer) { size = b.sizes.median })
	return size
}
