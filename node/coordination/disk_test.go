package coordination

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/adapter/disk"
	"github.com/mangoknot/mangoknot/adapter/systemclock"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/internal/disktest"
)

// voters passes calls between coordinators, but for those that are lost.
type voters struct {
	mu    sync.Mutex
	nodes map[string]*Node
	lost  map[string]bool
}

func (v *voters) lose(address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lost[address] = true
}

type voterCalls struct {
	voters *voters
	self   string
}

func (c voterCalls) Call(ctx context.Context, address string, m domain.Message) (domain.Message, error) {
	c.voters.mu.Lock()
	node, lost := c.voters.nodes[address], c.voters.lost[address] || c.voters.lost[c.self]
	c.voters.mu.Unlock()
	if node == nil || lost {
		return nil, errors.New("the voter is lost")
	}
	return node.Handle(ctx, m)
}

// startVoters starts three voters and returns their disks.
func startVoters(t *testing.T) (*voters, map[string]*disktest.Disk) {
	v := &voters{nodes: map[string]*Node{}, lost: map[string]bool{}}
	disks := map[string]*disktest.Disk{}
	var vms []domain.VM
	addresses := []string{"a", "b", "c"}
	for _, address := range addresses {
		vms = append(vms, coordinator.NewVM(address, "1"))
	}
	for i, address := range addresses {
		disks[address] = disktest.New(disk.NewMemory(0))
		n := New(Options{
			Config: coordinator.Config{
				Self: vms[i], Voters: vms, Tolerance: 1, ElectionTimeout: 200 * time.Millisecond, Heartbeat: 20 * time.Millisecond,
				Rand: rand.New(rand.NewPCG(1, uint64(i))),
			},
			Disk: disks[address], Calls: voterCalls{v, address}, Clock: systemclock.Clock{}, Targets: noTargets{},
			Seeds: func() []string { return addresses }, Metrics: noMetrics{}, Log: logr.Discard(),
		})
		v.mu.Lock()
		v.nodes[address] = n
		v.mu.Unlock()
	}
	for _, n := range v.nodes {
		go n.Run() //nolint:errcheck // ends with Stop
		t.Cleanup(n.Stop)
	}
	return v, disks
}

// put changes the manifest at any voter that accepts it.
func (v *voters) put(t *testing.T, version manifest.Version) {
	t.Helper()
	var err error
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for address, n := range v.nodes {
			if v.lost[address] {
				continue
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			err = n.Put(ctx, manifest.Document{Version: version, Raw: fmt.Append(nil, version)})
			cancel()
			if err == nil {
				return
			}
		}
	}
	must.NoError(t, err, must.Sprintf("version %d was not accepted", version))
}

// Guards against a voter that stays silent for good after its disk was full: once another
// voter is lost, no configuration is read or changed any more.
func TestVoterTakesPartAfterFullDisk(t *testing.T) {
	v, disks := startVoters(t)
	v.put(t, 1)
	disks["b"].SetFull(true)
	for version := range manifest.Version(3) {
		v.put(t, 2+version)
	}
	disks["b"].SetFull(false)
	v.put(t, 5)
	v.lose("c")
	v.put(t, 6)
}
