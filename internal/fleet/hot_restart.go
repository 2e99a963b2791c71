package fleet

import "context"

// Only one process of a name has the state folder and the address. In a hot restart the predecessor yields both to its
// successor, and reclaims them if the successor ends first.

// socketOwner is which of two processes of this name is to have the folder and the address.
type socketOwner uint8

const (
	ownedByThis      socketOwner = iota // the successor has ended: this process takes them back
	ownedBySuccessor                    // this process yields them
)

// maxOwnerChanges is how many changes of the owner may wait to be carried out. A hot restart needs two.
const maxOwnerChanges = 4

// run runs one incarnation until it yields to a successor, and another one if the successor fails.
func (n *Node) run(ctx context.Context) error {
	for {
		if n.isSuccessor() && !n.serveUntilAcquired(ctx) {
			return nil
		}
		n.beginIncarnation()
		err := n.runIncarnation(ctx)
		if err != nil || ctx.Err() != nil {
			return err
		}
		if !n.waitForSuccessorEnd(ctx) {
			return nil
		}
		n.mu.Lock()
		n.successor = true
		n.mu.Unlock()
	}
}

func (n *Node) isSuccessor() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.successor
}

// serveUntilAcquired serves without the folder and the address until the predecessor has yielded them. It returns
// false if ctx ends before.
func (n *Node) serveUntilAcquired(ctx context.Context) bool {
	n.mu.Lock()
	n.machine.TakeOver(n.uptime(), 0, 0) // the incarnation is not known before the folder is read
	n.admitting = true
	n.mu.Unlock()
	n.carryOut()
	for n.acquire() != nil {
		if !sleep(ctx, n.settings.Recovery.QueryInterval.Std()) {
			return false
		}
	}
	return true
}

// waitForSuccessorEnd waits until a successor has ended before this process. It returns false if ctx ends before.
func (n *Node) waitForSuccessorEnd(ctx context.Context) bool {
	return n.waitForOwner(ctx, ownedByThis)
}

// waitForOwner waits until the folder and the address are to have an owner. It returns false if ctx ends before.
func (n *Node) waitForOwner(ctx context.Context, want socketOwner) bool {
	for {
		select {
		case owner := <-n.ownerChanges:
			if owner == want {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// waitForYield returns when a successor is to have the folder and the address, or ctx ends.
func (n *Node) waitForYield(ctx context.Context) {
	n.waitForOwner(ctx, ownedBySuccessor)
}

// YieldSocket yields the folder and the address to a successor. It does not wait.
func (n *Node) YieldSocket() { n.requestOwner(ownedBySuccessor) }

// ReclaimSocket takes the folder and the address back once the successor has ended. It does not wait.
func (n *Node) ReclaimSocket() { n.requestOwner(ownedByThis) }

func (n *Node) requestOwner(owner socketOwner) {
	select {
	case n.ownerChanges <- owner:
	default: // maxOwnerChanges are waiting already
	}
}
