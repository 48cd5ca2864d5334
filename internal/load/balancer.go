package load

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// Interval and time-out of the balancer's readiness checks.
const (
	checkInterval = 200 * time.Millisecond
	checkTimeout  = time.Second
)

// Balancer distributes requests round-robin over the ready entry VMs, without
// affinity. It is safe for concurrent use.
type Balancer struct {
	addresses []string
	client    *http.Client
	ready     atomic.Pointer[[]string]
	next      atomic.Uint64
}

// NewBalancer returns a balancer over the addresses at which VMs serve callers. No
// VM counts as ready before the first Check.
func NewBalancer(addresses []string) *Balancer {
	b := &Balancer{addresses: addresses, client: newHTTPClient()}
	b.ready.Store(&[]string{})
	return b
}

// newHTTPClient returns a client that opens a connection for each request: a
// reused connection would create affinity, and an idle one that the server closes
// would look like an interrupted request.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// Run checks the VMs periodically until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		b.Check(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Check queries the readiness of all VMs once, in parallel.
func (b *Balancer) Check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	results := make([]chan bool, len(b.addresses))
	for i, address := range b.addresses {
		results[i] = make(chan bool, 1)
		go func() { results[i] <- b.isReady(ctx, address) }()
	}
	var ready []string
	for i, address := range b.addresses {
		if <-results[i] {
			ready = append(ready, address)
		}
	}
	b.ready.Store(&ready)
}

// AwaitReady waits until every VM is ready. It returns an error if the context
// ends first.
func (b *Balancer) AwaitReady(ctx context.Context) error {
	for {
		b.Check(ctx)
		if b.Ready() == len(b.addresses) {
			return nil
		}
		if !sleep(ctx, checkInterval) {
			return fmt.Errorf("load: %d of %d VMs are ready", b.Ready(), len(b.addresses))
		}
	}
}

func (b *Balancer) isReady(ctx context.Context, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Next returns the address of the VM for the next request, or "" if none is ready.
func (b *Balancer) Next() string {
	ready := *b.ready.Load()
	if len(ready) == 0 {
		return ""
	}
	return ready[b.next.Add(1)%uint64(len(ready))]
}

// Ready returns the number of VMs that were ready at the last check.
func (b *Balancer) Ready() int { return len(*b.ready.Load()) }
