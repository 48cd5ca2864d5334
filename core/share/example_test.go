package share_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/share"
)

// An entry without tokens sends a request to its holder, and the holder sends one to
// the root. Guards against an interface that is unusable without the controller.
func Example() {
	now := time.Unix(0, 0)
	r := rand.New(rand.NewPCG(1, 1))
	limit := share.Limit{Account: "acme", RatePerSecond: 10, Burst: 8}
	root, holder, entry := share.NewRoot(r), share.NewHolder(r), share.NewEntry(r)
	root.Activate(now, limit, 1, []share.Peer{{VM: "holder", Epoch: 1}})
	holder.Activate(now, limit, 1, share.Peer{VM: "root", Epoch: 1}, 1)
	entry.Configure(limit, share.Peer{VM: "holder", Epoch: 1})

	// A new source lends nothing until the grants of its predecessor have expired.
	now = now.Add(2 * share.GrantTerm)
	root.Tick(now)
	holder.Tick(now)
	decision, sends := entry.Admit(now, "acme", 1)
	fmt.Println("pending:", decision == share.Pending)
	type packet struct {
		from domain.VM
		send domain.Send
	}
	var network []packet
	post := func(from domain.VM, sends []domain.Send) {
		for _, s := range sends {
			network = append(network, packet{from, s})
		}
	}
	post("entry", sends)
	for len(network) > 0 {
		p := network[0]
		network = network[1:]
		switch p.send.To {
		case "root":
			post("root", root.Step(now, p.from, p.send.Body))
		case "holder":
			post("holder", holder.Step(now, p.from, p.send.Body))
		default:
			effects := entry.Step(now, p.from, p.send.Body)
			post("entry", effects.Sends)
			for _, o := range effects.Outcomes {
				fmt.Println("ticket", o.Ticket, "admitted:", o.Refusal == nil)
			}
		}
	}
	// Output:
	// pending: true
	// ticket 1 admitted: true
}
