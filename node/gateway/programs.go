package gateway

import (
	"time"

	"github.com/mangoknot/mangoknot/core/allowance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/tokens"
)

const (
	// programKnownFor is the time after its last request for which a program
	// counts as under way. Tool pauses are shorter.
	programKnownFor = 10 * time.Second
	// programLimit bounds the remembered programs.
	programLimit = 20_000
)

// programs remembers which programs this gateway has served lately.
type programs struct {
	seen map[tokens.Program]time.Time
}

func newPrograms() *programs { return &programs{seen: map[tokens.Program]time.Time{}} }

// standing says what is lost when a request is refused, as far as this gateway
// knows the program.
func (p *programs) standing(now time.Time, account domain.Account, name string, isTurn bool) allowance.Standing {
	if name == "" || !isTurn {
		return allowance.Calls
	}
	if now.Sub(p.seen[tokens.Program{Account: account, Name: name}]) < programKnownFor {
		return allowance.Continues
	}
	return allowance.Begins
}

// served remembers a program of which a request ran.
func (p *programs) served(now time.Time, account domain.Account, name string) {
	if name == "" {
		return
	}
	if len(p.seen) >= programLimit {
		for program, at := range p.seen {
			if now.Sub(at) >= programKnownFor {
				delete(p.seen, program)
			}
		}
	}
	if len(p.seen) < programLimit {
		p.seen[tokens.Program{Account: account, Name: name}] = now
	}
}
