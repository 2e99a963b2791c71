package fleet

import "context"

// Only one process per dispatcher name may own the state folder and the address. In a hot restart the predecessor
// yields both to its successor, and reclaims them if the successor exits first.

// resourceOwner identifies which of two processes of this name should own the folder and the address.
type resourceOwner uint8

const (
	ownedByThisProcess resourceOwner = iota // the successor has exited: this process reclaims them
	ownedBySuccessor                        // this process yields them
)

// maxOwnerChanges is how many owner changes may be queued. A hot restart needs two.
const maxOwnerChanges = 4

// runIncarnations runs an incarnation until it yields to a successor, and starts another one if the successor exits
// first.
func (n *Node) runIncarnations(ctx context.Context) error {
	for {
		if n.isTakingOver() && !n.serveUntilAcquired(ctx) {
			return nil
		}
		n.beginIncarnation()
		err := n.runIncarnation(ctx)
		if err != nil || ctx.Err() != nil {
			return err
		}
		if !n.waitForSuccessorExit(ctx) {
			return nil
		}
		n.mu.Lock()
		n.takingOver = true
		n.folderState = folderPending
		n.mu.Unlock()
	}
}

func (n *Node) isTakingOver() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.takingOver
}

// serveUntilAcquired serves without the folder and the address until the predecessor has yielded them. It returns false
// if ctx ends first.
func (n *Node) serveUntilAcquired(ctx context.Context) bool {
	n.mu.Lock()
	n.machine.TakeOver(n.uptime(), 0, 0) // the incarnation is not known before the folder is read
	n.restored = true
	n.mu.Unlock()
	n.executeActions()
	for n.acquireResources() != nil {
		if !sleep(ctx, n.settings.Recovery.QueryInterval.Std()) {
			return false
		}
	}
	return true
}

// waitForSuccessorExit waits until a successor has exited. It returns false if ctx ends first.
func (n *Node) waitForSuccessorExit(ctx context.Context) bool {
	return n.waitForOwner(ctx, ownedByThisProcess)
}

// waitForOwner waits for a change to the given owner of the folder and the address. It returns false if ctx ends first.
func (n *Node) waitForOwner(ctx context.Context, want resourceOwner) bool {
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

// waitForYield waits until the folder and the address must be yielded to a successor, or ctx ends.
func (n *Node) waitForYield(ctx context.Context) {
	n.waitForOwner(ctx, ownedBySuccessor)
}

// YieldResources requests that this process yield the folder and the address to a successor. It does not block.
func (n *Node) YieldResources() { n.requestOwner(ownedBySuccessor) }

// ReclaimResources requests that this process reclaim the folder and the address after the successor has exited. It
// does not block.
func (n *Node) ReclaimResources() { n.requestOwner(ownedByThisProcess) }

func (n *Node) requestOwner(owner resourceOwner) {
	select {
	case n.ownerChanges <- owner:
	default: // the queue is full
	}
}
