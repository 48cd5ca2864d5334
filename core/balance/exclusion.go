package balance

import "github.com/mangoknot/mangoknot/core/domain"

// Exclude replaces the data centres whose targets get no requests. Requests that are in
// flight there stay counted.
func (b *Balancer) Exclude(dataCentres []domain.DataCentre) {
	b.excluded = map[domain.DataCentre]bool{}
	for _, dc := range dataCentres {
		b.excluded[dc] = true
	}
}

// available reports whether the target may get new requests.
func (b *Balancer) available(s *targetState) bool { return !s.Leaving && !b.excluded[s.DataCentre] }
