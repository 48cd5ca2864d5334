package shard

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Guards against plans that remove a backup while its owner is alive, that move a
// shard to a VM that is not its backup, or that change more than needed.
func TestPlan(t *testing.T) {
	id := domain.ShardID{DataCentre: "a", Number: 1}
	vms := []domain.VM{"x", "y", "z"}
	first := highestRanked(id, vms, "")
	second := highestRanked(id, vms, first)
	var third domain.VM
	for _, vm := range vms {
		if vm != first && vm != second {
			third = vm
		}
	}
	alive := map[domain.VM]bool{"x": true, "y": true, "z": true}
	without := func(dead domain.VM) map[domain.VM]bool {
		out := map[domain.VM]bool{"x": true, "y": true, "z": true}
		out[dead] = false
		return out
	}
	cases := []struct {
		name     string
		current  config.Assignment
		eligible []domain.VM
		alive    map[domain.VM]bool
		want     *config.Assignment
	}{
		{"initial", config.Assignment{}, vms, alive, &config.Assignment{Owner: first, Learner: second}},
		{"settled", config.Assignment{Epoch: 3, Owner: first, Backup: second}, vms, alive, nil},
		{"owner dead", config.Assignment{Epoch: 3, Owner: first, Backup: second}, []domain.VM{second, third}, without(first),
			&config.Assignment{Owner: second, Learner: third}},
		{"owner dead without backup", config.Assignment{Epoch: 3, Owner: first, Learner: second}, []domain.VM{second}, without(first), nil},
		{"backup dead", config.Assignment{Epoch: 3, Owner: first, Backup: second}, []domain.VM{first, third}, without(second),
			&config.Assignment{Owner: first, Backup: second, Learner: third}},
		{"VM with a higher rank joins", config.Assignment{Epoch: 3, Owner: second, Backup: third}, vms, alive,
			&config.Assignment{Owner: second, Backup: third, Learner: first}},
	}
	for _, c := range cases {
		if c.current.Epoch > 0 {
			c.current.Shard = id
		}
		got := planShard(id, c.current, c.eligible, c.alive)
		if c.want == nil {
			must.Nil(t, got, must.Sprint(c.name))
			continue
		}
		c.want.Shard, c.want.Epoch = id, c.current.Epoch+1
		must.Eq(t, *c.want, got.Assignment, must.Sprint(c.name))
		must.Eq(t, c.current.Epoch, got.PreviousEpoch, must.Sprint(c.name))
	}
}
