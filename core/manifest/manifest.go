// Package manifest defines the declarative configuration of a system: routes, services,
// client accounts and limits. A manifest is complete and replaces the previous one as a
// whole. The manifest with the highest version is in force.
package manifest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Version is the version number of a manifest. Versions increase and may have gaps.
type Version uint64

// Document is a manifest in the encoding of the front end that received it. The
// coordinators replicate these bytes, so that a read returns exactly what was written.
type Document struct {
	Version Version
	Raw     []byte
	// Constrained reports whether a route or an account of the manifest has a region constraint.
	Constrained bool `cbor:",omitempty"`
}

// Kind defines whether requests of a route may run more than once.
type Kind int

// Kinds of routes. The zero value is invalid.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// RunOnce requests run at most once for each attempt of a caller.
	RunOnce
	// Stream requests return a sequence of events. They run at most once unless the
	// route is Resumable.
	Stream
)

// Split is the relative weight of a service on a route.
type Split struct {
	Service string
	Weight  int
}

// Route maps the requests below a path prefix of a host to services.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the time limit of a request; Objective is the latency that it should
	// not exceed.
	Timeout, Objective time.Duration
	// EventGap is the longest pause between two events of a stream that is still on
	// time; 0 means unknown.
	EventGap time.Duration
	// Priority orders waiting requests; 0 is served first.
	Priority int
	Splits   []Split
	// MaxAttempts is the maximum number of targets to which a request is sent.
	MaxAttempts int
	// StoresHistory reports whether the system stores the turns of this route. Each is kept for
	// Retention, together with the turns that it continues.
	StoresHistory bool
	Retention     time.Duration
	// Open reports whether the route accepts requests without a key.
	Open bool
	// Resumable reports whether a stream may continue on another target after its last
	// event.
	Resumable bool
	// Regions lists the regions in which requests of the route may run and their content may
	// be stored; empty means any region.
	Regions []domain.Region
}

// Retryable reports whether a request that may already have run may be sent again from
// its start.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service is a group of interchangeable targets.
type Service struct {
	Name, HealthPath string
	// MaxConnections is the number of connections that a target accepts in total from
	// all VMs; 0 means no limit.
	MaxConnections int
	// TokensPerEvent is the number of tokens in one event of a stream; it is 0 for plain
	// services.
	TokensPerEvent domain.Tokens
	// CacheTokens is the number of tokens that the memory of one target holds, for running
	// requests and cached prompts, and EngineSlots the number of requests that it runs at
	// once. Both are 0 for plain services.
	CacheTokens domain.Tokens
	EngineSlots int
	// ColdPerSecond is the number of requests a second that a cold target tolerates from all
	// VMs; 0 means no limit. ColdPeriod is the time for which a target is cold after its start.
	ColdPerSecond float64
	ColdPeriod    time.Duration
}

// Account is a client account with its keys and its rate limit.
type Account struct {
	Name domain.Account
	Keys []string
	// RatePerSecond and Burst are the rate limit of the account, in requests, across all
	// VMs; 0 means no limit.
	RatePerSecond, Burst float64
	// Priority is the account's priority, which takes precedence over that of the route,
	// or nil.
	Priority *int
	// Regions lists the regions in which requests of the account may run and their content
	// may be stored; empty means any region.
	Regions []domain.Region
}

// Limits are the limits on connections and requests of callers.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Manifest is one complete configuration.
type Manifest struct {
	Version  Version
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
	// Open reports whether the deployment has no client accounts and requests need no key. Without
	// Open and accounts, only requests of open routes are served.
	Open bool
}

// Constrained reports whether a route or an account has a region constraint.
func (m *Manifest) Constrained() bool {
	return slices.ContainsFunc(m.Routes, func(r Route) bool { return len(r.Regions) > 0 }) ||
		slices.ContainsFunc(m.Accounts, func(a Account) bool { return len(a.Regions) > 0 })
}

// InvalidError is the error for a manifest that is rejected. Reason is the rule that the
// manifest breaks.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string {
	return "manifest: " + e.Reason + "; correct it and send the whole manifest again"
}

func invalid(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}

// Validate returns an *InvalidError when the manifest is not valid.
func (m *Manifest) Validate() error {
	services := map[string]bool{}
	for _, s := range m.Services {
		if s.Name == "" {
			return invalid("a service has no name")
		}
		services[s.Name] = true
	}
	routesByPrefix := map[string]string{}
	for i := range m.Routes {
		if err := m.Routes[i].validate(services, routesByPrefix); err != nil {
			return err
		}
	}
	return m.validateAccounts()
}

func (r *Route) validate(services map[string]bool, routesByPrefix map[string]string) error {
	prefix := strings.ToLower(r.Host) + r.Prefix
	if other, ok := routesByPrefix[prefix]; ok {
		return invalid("routes %q and %q have the same host and prefix", other, r.Name)
	}
	routesByPrefix[prefix] = r.Name
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %q needs a host and a prefix that begins and ends with a slash", r.Name)
	}
	if r.Timeout <= 0 {
		return invalid("route %q has no positive timeout", r.Name)
	}
	if r.Kind == 0 {
		return invalid("route %q has no known kind", r.Name)
	}
	total := 0
	for _, s := range r.Splits {
		if !services[s.Service] {
			return invalid("route %q refers to the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("route %q has a negative weight", r.Name)
		}
		total += s.Weight
	}
	if total == 0 {
		return invalid("the weights of route %q have a sum of 0", r.Name)
	}
	return nil
}

func (m *Manifest) validateAccounts() error {
	accountsByKey := map[string]domain.Account{}
	names := map[domain.Account]bool{}
	for _, a := range m.Accounts {
		if a.Name == "" || names[a.Name] {
			return invalid("client account name %q is empty or listed twice", a.Name)
		}
		names[a.Name] = true
		for _, key := range a.Keys {
			if other, ok := accountsByKey[key]; ok && other != a.Name {
				return invalid("client accounts %q and %q share a key", other, a.Name)
			}
			accountsByKey[key] = a.Name
		}
	}
	return nil
}
