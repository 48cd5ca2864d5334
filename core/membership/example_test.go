package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/membership"
)

// A member that never replies is declared dead by calls of Tick alone. Guards
// against an interface that cannot be used without the controller.
func Example() {
	now := time.Unix(0, 0)
	self := membership.Member{VM: "a", Incarnation: 1}
	m := membership.New(membership.Config{Rand: rand.New(rand.NewPCG(1, 1))}, self, now)
	m.UpdateList(now, []membership.Member{{VM: "a"}, {VM: "b"}})
	// A first message from b makes it known with an incarnation. The Ack to it is
	// among the sends of the returned effects.
	b := membership.Member{VM: "b", Incarnation: 1}
	m.Step(now, "b", &membership.Ping{Sequence: 1, Updates: []membership.Member{b}})
	fmt.Println("b alive:", m.Alive("b"))
	for m.Alive("b") {
		now = m.NextWake()
		for _, send := range m.Tick(now).Sends {
			_ = domain.Send(send) // the network loses it
		}
	}
	fmt.Println("b alive:", m.Alive("b"))
	// Output:
	// b alive: true
	// b alive: false
}
