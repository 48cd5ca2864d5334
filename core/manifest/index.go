package manifest

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Index holds the lookup tables of a manifest. It is immutable and safe for concurrent
// use.
type Index struct {
	Manifest *Manifest
	// Constrained is the result of Manifest.Constrained.
	Constrained    bool
	routesByHost   map[string][]*Route
	services       map[string]*Service
	accountsByKey  map[string]*Account
	accountsByName map[domain.Account]*Account
}

// NewIndex returns the index of a valid manifest.
func NewIndex(m *Manifest) *Index {
	x := &Index{
		Manifest: m, Constrained: m.Constrained(), routesByHost: map[string][]*Route{}, services: map[string]*Service{},
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
			if key != "" { // a request without a key has none
				x.accountsByKey[key] = a
			}
		}
	}
	return x
}

// Route returns the host's route with the longest prefix that the path starts with. The
// host is case-insensitive.
func (x *Index) Route(host, path string) (*Route, bool) {
	for _, r := range x.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// RouteByName returns the route with the given name.
func (x *Index) RouteByName(name string) (*Route, bool) {
	i := slices.IndexFunc(x.Manifest.Routes, func(r Route) bool { return r.Name == name })
	if i < 0 {
		return nil, false
	}
	return &x.Manifest.Routes[i], true
}

// Service returns the service with the given name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// AccountByKey returns the client account to which a key belongs.
func (x *Index) AccountByKey(key string) (*Account, bool) {
	a, ok := x.accountsByKey[key]
	return a, ok
}

// Account returns the client account with the given name.
func (x *Index) Account(name domain.Account) (*Account, bool) {
	a, ok := x.accountsByName[name]
	return a, ok
}

// Constraint returns the regions in which a request may run: those that the route and the
// account both allow. The account is nil for a request without a key.
func Constraint(r *Route, a *Account) domain.RegionConstraint {
	c := domain.NewRegionConstraint(r.Regions)
	if a == nil {
		return c
	}
	return c.Intersect(domain.NewRegionConstraint(a.Regions))
}

// ConstraintOf returns the regions in which a request of the named account may run; the name is
// empty for a request without a key.
func (x *Index) ConstraintOf(r *Route, account domain.Account) domain.RegionConstraint {
	return Constraint(r, x.accountsByName[account])
}

// Allows reports whether requests of the route go to the service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service && s.Weight > 0 })
}

// ChooseService returns the name of the service that handles a request, according to the
// weights of the route. The choice is a hash of the request ID, so that it needs no
// shared counters and is the same for each attempt.
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

// mixBits mixes the bits of a hash, because the low bits of an FNV hash depend mostly on
// the last bytes of the input.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
