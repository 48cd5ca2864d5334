package manifest

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Index answers the lookups of a request. It is immutable and safe for
// concurrent use.
type Index struct {
	Manifest       *Manifest
	routesByHost   map[string][]*Route
	services       map[string]*Service
	accountsByKey  map[string]*Account
	accountsByName map[domain.Account]*Account
}

// NewIndex returns the lookups of a valid manifest.
func NewIndex(m *Manifest) *Index {
	x := &Index{
		Manifest: m, routesByHost: map[string][]*Route{}, services: map[string]*Service{},
		accountsByKey: map[string]*Account{}, accountsByName: map[domain.Account]*Account{},
	}
	for i := range m.Routes {
		r := &m.Routes[i]
		host := strings.ToLower(r.Host)
		x.routesByHost[host] = append(x.routesByHost[host], r)
	}
	for _, routes := range x.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range m.Services {
		x.services[m.Services[i].Name] = &m.Services[i]
	}
	for i := range m.Accounts {
		a := &m.Accounts[i]
		x.accountsByName[a.Name] = a
		for _, key := range a.Keys {
			x.accountsByKey[key] = a
		}
	}
	return x
}

// Route returns the route with the longest prefix that begins the path.
func (x *Index) Route(host, path string) (*Route, bool) {
	for _, r := range x.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// AccountByKey returns the client account that holds a key.
func (x *Index) AccountByKey(key string) (*Account, bool) {
	a, ok := x.accountsByKey[key]
	return a, ok
}

// Account returns a client account by name.
func (x *Index) Account(name domain.Account) (*Account, bool) {
	a, ok := x.accountsByName[name]
	return a, ok
}

// ChooseService returns the service of a request. The same request id always gets the
// same service, so that a weight holds without shared counters.
func (r *Route) ChooseService(requestID string) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	h := fnv.New64a()
	h.Write([]byte(requestID))
	left := int(mixBits(h.Sum64()) % uint64(total))
	for _, s := range r.Splits {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}

// mixBits spreads the bits of a hash, because the low bits of FNV follow the last
// bytes of the input.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
