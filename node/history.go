package node

import (
	"context"
	"crypto/sha256"
	"errors"
	"sync"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// storeTimeout bounds the time to store a turn, including retries. It exceeds
	// the time in which a backup takes over a shard.
	storeTimeout = 20 * time.Second
	// transferTimeout bounds one attempt to store a turn on all replicas.
	transferTimeout = 5 * time.Second
	// storeRetryDelay is the delay between attempts to store a turn. The replicas
	// of the shard may change in the meantime.
	storeRetryDelay = 200 * time.Millisecond
	// parallelFetches bounds the turns that one call reads concurrently.
	parallelFetches = 16
)

// replicas returns the VMs that store the program's history: the owner, then the
// backup, if they are assigned.
func (n *Node) replicas(id domain.ProgramID) ([]domain.VM, error) {
	view := n.View()
	shard, err := view.ShardOfProgram(id)
	if err != nil {
		return nil, err
	}
	assignment := view.Assignment(shard)
	var out []domain.VM
	for _, vm := range []domain.VM{assignment.Owner, assignment.Backup} {
		if vm != "" {
			out = append(out, vm)
		}
	}
	return out, nil
}

// storeOnReplicas returns after every replica of the program's shard has stored
// the bytes. Each attempt uses the current replicas, because a failed backup is
// replaced. It continues after ctx is cancelled, for at most storeTimeout.
func (n *Node) storeOnReplicas(ctx context.Context, ref port.HistoryRef, data []byte) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	for {
		err := n.storeOnce(ctx, ref, data)
		if err == nil {
			return nil
		}
		if !n.sleep(ctx, storeRetryDelay) {
			n.log.Info("a turn could not be stored on all replicas of its shard", "program", ref.Program.String(), "error", err.Error())
			return domain.Unknown(domain.ReasonStorageFailed, "the answer could not be stored on two VMs, so it is not part of the program and not charged; send the request again").After(time.Second)
		}
		n.ports.Metrics.Retried("store_turn")
	}
}

// storeTurn stores the bytes of a turn or answer on the replicas of the program's
// shard and returns the reference to them.
func (n *Node) storeTurn(ctx context.Context, id domain.ProgramID, data []byte) (program.HistoryRef, error) {
	ref := port.HistoryRef{Program: id, Length: int64(len(data)), SHA256: sha256.Sum256(data)}
	return program.HistoryRef{SHA256: ref.SHA256, Length: uint32(ref.Length)}, n.storeOnReplicas(ctx, ref, data)
}

// sleep waits for d and reports whether it elapsed before the context ended.
func (n *Node) sleep(ctx context.Context, d time.Duration) bool {
	timer := n.ports.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C():
		return true
	}
}

// storeOnce stores the bytes on all replicas concurrently and returns the joined
// errors.
func (n *Node) storeOnce(ctx context.Context, ref port.HistoryRef, data []byte) error {
	replicas, err := n.replicas(ref.Program)
	if err != nil {
		return err
	}
	if len(replicas) == 0 {
		return errors.New("the program's shard has no owner")
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	results := make(chan error, len(replicas))
	for _, vm := range replicas {
		go func() { results <- n.putHistory(ctx, vm, ref, data) }()
	}
	var errs []error
	for range replicas {
		errs = append(errs, <-results)
	}
	return errors.Join(errs...)
}

func (n *Node) putHistory(ctx context.Context, vm domain.VM, ref port.HistoryRef, data []byte) error {
	if vm == n.config.VM {
		return n.ports.History.Put(ctx, ref, data)
	}
	return n.ports.Transfer.Put(ctx, vm, ref, data)
}

// fetch returns stored bytes from the first replica that has them complete. The
// local store is read first.
func (n *Node) fetch(ctx context.Context, ref port.HistoryRef) ([]byte, error) {
	if data, err := n.ports.History.Get(ctx, ref); err == nil {
		return data, nil
	}
	replicas, err := n.replicas(ref.Program)
	if err != nil {
		return nil, err
	}
	var errs []error
	for _, vm := range replicas {
		if vm == n.config.VM {
			continue
		}
		data, err := n.ports.Transfer.Get(ctx, vm, ref)
		if err == nil {
			return data, nil
		}
		errs = append(errs, err)
	}
	n.log.Info("history cannot be read from any replica", "program", ref.Program.String(), "error", errors.Join(errs...))
	var corrupt *port.CorruptHistoryError
	if errors.As(errors.Join(errs...), &corrupt) {
		return nil, domain.NotRun(domain.ReasonHistoryCorrupt, "the stored history of program %s is corrupt on every replica that answered; ask the operator to check the disks", ref.Program.Name)
	}
	return nil, domain.NotRun(domain.ReasonUnreachable, "the history of program %s cannot be read now; send the request again", ref.Program.Name).After(time.Second)
}

// fetchTurns returns the stored turns in the order of refs.
func (n *Node) fetchTurns(ctx context.Context, id domain.ProgramID, refs []program.HistoryRef) ([][]byte, error) {
	turns := make([][]byte, len(refs))
	errs := make([]error, len(refs))
	slots := make(chan struct{}, parallelFetches)
	var group sync.WaitGroup
	for i, ref := range refs {
		slots <- struct{}{}
		group.Go(func() {
			turns[i], errs[i] = n.fetch(ctx, port.HistoryRef{Program: id, Length: int64(ref.Length), SHA256: ref.SHA256})
			<-slots
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return turns, nil
}
