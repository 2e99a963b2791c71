package proxy

import "time"

const (
	// idRetention is how long the ID of an ended request that may have been executed stays in use.
	idRetention = 30 * time.Second
	// maxRetainedIDBytes limits the memory for retained IDs. If it is exceeded, the oldest are freed early.
	maxRetainedIDBytes = 1 << 20
	// bytesPerRetainedID is the memory for an ID in addition to its characters.
	bytesPerRetainedID = 100
)

// retainedIDs holds the IDs of ended requests that may have been executed and must not be executed again. Their clients may
// have left before the response, and send the ID again.
type retainedIDs struct {
	queue []retainedID // oldest first
	bytes int          // memory for the queue, see bytesPerRetainedID
}

type retainedID struct {
	id        string
	expiresAt time.Time
}

func (r *retainedID) bytes() int { return len(r.id) + bytesPerRetainedID }

// add retains an ID from now on.
func (r *retainedIDs) add(id string, now time.Time) {
	added := retainedID{id: id, expiresAt: now.Add(idRetention)}
	r.queue = append(r.queue, added)
	r.bytes += added.bytes()
}

// takeExpired removes the IDs that are not retained any more, and returns them.
func (r *retainedIDs) takeExpired(now time.Time) (expired []string) {
	for len(r.queue) > 0 {
		oldest := &r.queue[0]
		if now.Before(oldest.expiresAt) && r.bytes <= maxRetainedIDBytes {
			break
		}
		expired = append(expired, oldest.id)
		r.bytes -= oldest.bytes()
		r.queue = r.queue[1:]
	}
	return expired
}
