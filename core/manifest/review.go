package manifest

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/mangoknot/mangoknot/core/domain"
)

// FindingKind is the kind of a Finding.
type FindingKind string

// Kinds of findings, in the order in which Review returns them.
const (
	// Unmatched is an entry that no request can ever use.
	Unmatched FindingKind = "never matches"
	// Contradiction is a limit that another value of the manifest makes void or impossible.
	Contradiction FindingKind = "contradiction"
	// Difference is a change against the manifest in force.
	Difference FindingKind = "difference"
)

// Finding is one result of Review. Entry names the part of the manifest, such as `route "a"`.
type Finding struct {
	Kind          FindingKind
	Entry, Detail string
}

func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Kind, f.Entry, f.Detail) }

// reviewer collects findings.
type reviewer struct {
	manifest *Manifest
	findings []Finding
}

func (r *reviewer) add(kind FindingKind, entry, format string, args ...any) {
	r.findings = append(r.findings, Finding{Kind: kind, Entry: entry, Detail: fmt.Sprintf(format, args...)})
}

// Review returns what an operator should know of a valid manifest before it is sent. regions
// lists the regions of the deployment; nil means that they are not known. inForce is the
// manifest in force, or nil. Keys do not appear in findings.
func Review(m *Manifest, regions []domain.Region, inForce *Manifest) []Finding {
	r := &reviewer{manifest: m}
	r.unmatched(regions)
	for i := range m.Routes {
		r.routeLimits(&m.Routes[i])
	}
	r.otherLimits()
	if inForce != nil {
		r.differences(inForce)
	}
	return r.findings
}

func routeEntry(name string) string           { return fmt.Sprintf("route %q", name) }
func serviceEntry(name string) string         { return fmt.Sprintf("service %q", name) }
func accountEntry(name domain.Account) string { return fmt.Sprintf("client account %q", name) }

func (r *reviewer) unmatched(regions []domain.Region) {
	used := map[string]bool{}
	for i := range r.manifest.Routes {
		route := &r.manifest.Routes[i]
		r.unmatchedRoute(route, regions)
		for _, s := range route.Splits {
			used[s.Service] = used[s.Service] || s.Weight > 0
		}
	}
	for _, s := range r.manifest.Services {
		if !used[s.Name] {
			r.add(Unmatched, serviceEntry(s.Name), "no route sends requests to it")
		}
	}
	for i := range r.manifest.Accounts {
		r.unmatchedAccount(&r.manifest.Accounts[i], regions)
	}
}

func (r *reviewer) unmatchedRoute(route *Route, regions []domain.Region) {
	entry := routeEntry(route.Name)
	if strings.ContainsAny(route.Host, "/ ?#") {
		r.add(Unmatched, entry, "the host %q is no host name", route.Host)
	}
	if strings.ContainsAny(route.Prefix, " ?#") {
		r.add(Unmatched, entry, "no path begins with the prefix %q", route.Prefix)
	}
	for _, s := range route.Splits {
		if s.Weight == 0 {
			r.add(Unmatched, entry, "the service %q has weight 0", s.Service)
		}
	}
	r.unknownRegions(entry, route.Regions, regions)
}

func (r *reviewer) unmatchedAccount(account *Account, regions []domain.Region) {
	entry := accountEntry(account.Name)
	if len(account.Keys) == 0 {
		r.add(Unmatched, entry, "it has no keys")
	}
	if slices.Contains(account.Keys, "") {
		r.add(Unmatched, entry, "one of its keys is empty")
	}
	r.unknownRegions(entry, account.Regions, regions)
	for i := range r.manifest.Routes {
		route := &r.manifest.Routes[i]
		if c := Constraint(route, account); !c.Unrestricted() && len(c.Regions()) == 0 {
			r.add(Unmatched, entry, "it shares no allowed region with route %q, which refuses all its requests", route.Name)
		}
	}
}

// unknownRegions reports the regions of a list that the deployment does not have.
func (r *reviewer) unknownRegions(entry string, list, known []domain.Region) {
	if known == nil || len(list) == 0 {
		return
	}
	unknown := slices.DeleteFunc(slices.Clone(list), func(region domain.Region) bool { return slices.Contains(known, region) })
	switch {
	case len(unknown) == len(list):
		r.add(Unmatched, entry, "the deployment has none of its allowed regions %q; all its requests are refused", unknown)
	case len(unknown) > 0:
		r.add(Unmatched, entry, "the deployment lacks its allowed regions %q", unknown)
	}
}

func (r *reviewer) routeLimits(route *Route) {
	entry := routeEntry(route.Name)
	if route.Objective > route.Timeout {
		r.add(Contradiction, entry, "the latency objective %v exceeds the timeout %v", route.Objective, route.Timeout)
	}
	if route.EventGap > route.Timeout {
		r.add(Contradiction, entry, "the pause between events %v exceeds the timeout %v", route.EventGap, route.Timeout)
	}
	if route.Kind != Stream && (route.Resumable || route.StoresHistory) {
		r.add(Contradiction, entry, "only streams can be resumed or store their turns")
	}
	if route.Resumable && route.StoresHistory {
		r.add(Contradiction, entry, "stored turns cannot be resumed by callers")
	}
	if route.StoresHistory && route.Retention <= 0 {
		r.add(Contradiction, entry, "turns are stored but have no retention")
	}
}

func (r *reviewer) otherLimits() {
	for _, a := range r.manifest.Accounts {
		switch {
		case a.RatePerSecond == 0 && a.Burst > 0:
			r.add(Contradiction, accountEntry(a.Name), "the burst %g has no effect without a rate", a.Burst)
		case a.RatePerSecond > 0 && a.Burst < 1:
			r.add(Contradiction, accountEntry(a.Name), "the burst %g is below one request, at a rate of %g a second", a.Burst, a.RatePerSecond)
		}
	}
	for _, s := range r.manifest.Services {
		if s.ColdPerSecond > 0 && s.ColdPeriod <= 0 {
			r.add(Contradiction, serviceEntry(s.Name), "cold targets are limited, but no target is cold after its start")
		}
	}
	if l := r.manifest.Limits; l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		r.add(Contradiction, "limits", "the time for a head %v exceeds the idle timeout %v", l.HeaderTimeout, l.IdleTimeout)
	}
}

func (r *reviewer) differences(inForce *Manifest) {
	if r.manifest.Version <= inForce.Version {
		r.add(Difference, "version", "%d is not higher than %d, which is in force; it will be acknowledged and change nothing", r.manifest.Version, inForce.Version)
	} else {
		r.add(Difference, "version", "%d replaces %d", r.manifest.Version, inForce.Version)
	}
	compare(r, inForce.Routes, r.manifest.Routes, func(x *Route) string { return routeEntry(x.Name) })
	compare(r, inForce.Services, r.manifest.Services, func(x *Service) string { return serviceEntry(x.Name) })
	compare(r, inForce.Accounts, r.manifest.Accounts, func(x *Account) string { return accountEntry(x.Name) })
	if fields := changedFields(&inForce.Limits, &r.manifest.Limits); len(fields) > 0 {
		r.add(Difference, "limits", "%s", strings.Join(fields, "; "))
	}
}

// compare reports the entries of two lists that were added, removed or changed.
func compare[T any](r *reviewer, before, after []T, entryOf func(*T) string) {
	old := map[string]*T{}
	for i := range before {
		old[entryOf(&before[i])] = &before[i]
	}
	for i := range after {
		entry := entryOf(&after[i])
		previous, ok := old[entry]
		delete(old, entry)
		if !ok {
			r.add(Difference, entry, "added")
		} else if fields := changedFields(previous, &after[i]); len(fields) > 0 {
			r.add(Difference, entry, "%s", strings.Join(fields, "; "))
		}
	}
	for _, entry := range slices.Sorted(maps.Keys(old)) {
		r.add(Difference, entry, "removed")
	}
}

// changedFields describes the fields in which two structs differ. The values of keys are left
// out.
func changedFields(before, after any) []string {
	x, y := reflect.ValueOf(before).Elem(), reflect.ValueOf(after).Elem()
	var out []string
	for i := range x.NumField() {
		name, old, changed := x.Type().Field(i).Name, x.Field(i).Interface(), y.Field(i).Interface()
		switch {
		case reflect.DeepEqual(old, changed):
		case name == "Keys":
			added, removed := countChanges(old.([]string), changed.([]string))
			out = append(out, fmt.Sprintf("%d keys added, %d withdrawn", added, removed))
		default:
			out = append(out, fmt.Sprintf("%s: %v, before %v", name, printable(y.Field(i)), printable(x.Field(i))))
		}
	}
	return out
}

// printable returns the value to which a pointer refers, or the value itself.
func printable(v reflect.Value) any {
	if v.Kind() != reflect.Pointer {
		return v.Interface()
	}
	if v.IsNil() {
		return "none"
	}
	return v.Elem().Interface()
}

func countChanges(before, after []string) (added, removed int) {
	for _, key := range after {
		if !slices.Contains(before, key) {
			added++
		}
	}
	for _, key := range before {
		if !slices.Contains(after, key) {
			removed++
		}
	}
	return added, removed
}
