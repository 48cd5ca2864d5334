package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	// homeHitRate is the assumed probability that a home holds what it is the home of. Another
	// gateway may have sent the last turn elsewhere.
	homeHitRate = 0.8
	// firstTurnHomeMillis is the advantage of a program's home for its first turn. It is
	// smaller than the slow-down by one more running request, so that it only decides
	// between targets with a similar load.
	firstTurnHomeMillis = 6
	// sharedHomesDivisor is the number of targets divided by the number of homes of a shared
	// part, and minSharedHomes the lower bound of the latter. A part that more than the same
	// fraction of the requests begins with has all targets as homes. With fewer homes the
	// programs that use a popular part are too many for them, and spill to other targets.
	sharedHomesDivisor = 3
	minSharedHomes     = 4
	// popularitySample is the number of requests over which the popularity of parts is counted,
	// and minPopularitySample the one from which on it is used.
	popularitySample    = 64
	minPopularitySample = 8
)

// popularity counts with which part the prompts of a service begin.
type popularity struct {
	counts map[string]int
	total  int
}

// observe counts a prompt. Older ones lose half of their weight with each sample.
func (p *popularity) observe(part string) {
	if p.counts == nil {
		p.counts = map[string]int{}
	}
	p.counts[part]++
	p.total++
	if p.total < popularitySample {
		return
	}
	p.total = 0
	for id, n := range p.counts {
		if n /= 2; n == 0 {
			delete(p.counts, id)
		} else {
			p.counts[id] = n
			p.total += n
		}
	}
}

// isPopular reports whether a part is too popular for a fraction of the targets.
func (p *popularity) isPopular(part string) bool {
	return p != nil && p.total >= minPopularitySample && p.counts[part]*sharedHomesDivisor > p.total
}

// homes are the targets that all gateways of a region prefer for the turns of a program.
//
// The load pattern that they answer: in a large fleet the turns of a program reach gateways that
// have not seen the program before, and a target that has its prompt cached cannot be known from
// the gateway's own requests. The first part of a prompt is shared with many programs. If each
// target had all shared parts cached, they would take the place of the programs' own parts.
type homes struct {
	// shared are the homes of the first part of the prompt, and program is that of the program,
	// which is one of them.
	shared  []*targetState
	program *targetState
	// atProgram, atShared and elsewhere are the numbers of prompt tokens that the home of the
	// program, another home of the shared part and any other target are expected to process.
	atProgram, atShared, elsewhere float64
	// firstTurn reports whether the prompt continues no earlier one.
	firstTurn bool
}

func (b *Balancer) observePrompt(request Request) {
	if request.Program == "" || len(request.Parts) == 0 {
		return
	}
	if b.popular[request.Service] == nil {
		b.popular[request.Service] = &popularity{}
	}
	b.popular[request.Service].observe(request.Parts[0].ID)
}

// homes chooses the homes by the highest hashes of the names, so that a change of the list
// moves few programs.
func (b *Balancer) homes(now time.Time, request Request) homes {
	out := newHomes(request.Parts)
	if request.Program == "" || len(request.Parts) == 0 {
		return out
	}
	type candidate struct {
		target *targetState
		rank   uint64
	}
	var candidates []candidate
	for _, s := range b.services[request.Service] {
		if b.mayUse(&request, s) && b.allowsHome(&request, s) && !now.Before(s.backoffUntil) {
			candidates = append(candidates, candidate{s, domain.Hash64(request.Parts[0].ID, string(s.ID))})
		}
	}
	n := max(minSharedHomes, len(candidates)/sharedHomesDivisor)
	if n < len(candidates) && !b.popular[request.Service].isPopular(request.Parts[0].ID) {
		slices.SortFunc(candidates, func(x, y candidate) int { return cmp.Compare(y.rank, x.rank) })
		candidates = candidates[:n]
	}
	highest := uint64(0)
	for _, c := range candidates {
		out.shared = append(out.shared, c.target)
		if rank := domain.Hash64(request.Program, string(c.target.ID)); out.program == nil || rank > highest {
			out.program, highest = c.target, rank
		}
	}
	return out
}

// newHomes returns what is expected of a prompt, without the homes.
func newHomes(parts []Part) homes {
	total := float64(tokensOf(parts))
	out := homes{atProgram: total, atShared: total, elsewhere: total, firstTurn: !hasHistory(parts)}
	if len(parts) > 1 {
		out.atShared -= homeHitRate * float64(parts[0].Tokens)
	}
	out.atProgram = out.atShared
	if !out.firstTurn {
		out.atProgram = total - homeHitRate*float64(tokensOf(parts[:len(parts)-1]))
	}
	return out
}

// expectedUncached returns the number of prompt tokens that a target is expected to process, as
// far as that follows from the homes.
func (h *homes) expectedUncached(s *targetState) float64 {
	switch {
	case s == h.program:
		return h.atProgram
	case slices.Contains(h.shared, s):
		return h.atShared
	default:
		return h.elsewhere
	}
}

// firstTurnAdvantage returns the advantage of a target for the first turn of a program, in
// milliseconds.
func (h *homes) firstTurnAdvantage(s *targetState) float64 {
	if s != h.program || !h.firstTurn {
		return 0
	}
	return firstTurnHomeMillis
}

// hasHistory reports whether a prompt continues an earlier one: it has more parts than a
// shared one and its own.
func hasHistory(parts []Part) bool { return len(parts) > 2 }
