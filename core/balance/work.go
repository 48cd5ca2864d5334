package balance

import "time"

// Uncached returns the number of prompt tokens that the request is expected to need processed, at
// the target that may be used and has most of the prompt cached.
func (b *Balancer) Uncached(now time.Time, request Request) int {
	least := tokensOf(request.Parts)
	h := b.homes(now, request)
	for _, s := range b.services[request.Service] {
		if !b.mayUse(&request, s) {
			continue
		}
		least = min(least, s.uncachedTokens(now, request.Parts), int(h.expectedUncached(s)))
	}
	return least
}
