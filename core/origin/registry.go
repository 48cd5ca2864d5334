package origin

import (
	"slices"
	"time"
)

const (
	// sweepInterval is the minimum time between two sweeps of expired records.
	sweepInterval = 5 * time.Second
	// maxRecords bounds the records of one storage VM to about 25 MB.
	maxRecords = 100_000
	// maxRetention bounds the time that a gateway can request for a record.
	maxRetention = 10 * time.Minute
	// maxOrigins bounds the origins of one stream. Two suffice to make it ambiguous.
	maxOrigins = 2
)

type record struct {
	origins []Origin
	expires time.Time
}

// Registry holds the records of one storage VM. It is not safe for concurrent use.
type Registry struct {
	records   map[Stream]record
	nextSweep time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{records: map[Stream]record{}} }

// Register records the origin of a stream. A second origin of the same stream is kept beside
// the first one. Without room for another record the stream cannot be resumed.
func (r *Registry) Register(now time.Time, m *Register) *Registered {
	found, ok := r.records[m.Stream]
	if !ok && len(r.records) >= maxRecords {
		return &Registered{}
	}
	if !slices.Contains(found.origins, m.Origin) && len(found.origins) < maxOrigins {
		found.origins = append(slices.Clone(found.origins), m.Origin)
	}
	expires := now.Add(min(max(0, m.Retention), maxRetention))
	if expires.After(found.expires) {
		found.expires = expires
	}
	r.records[m.Stream] = found
	return &Registered{}
}

// Lookup returns the origins of a stream.
func (r *Registry) Lookup(now time.Time, m *Lookup) *LookupReply {
	found, ok := r.records[m.Stream]
	if !ok || now.After(found.expires) {
		return &LookupReply{}
	}
	return &LookupReply{Origins: found.origins}
}

// Sweep deletes expired records, at most once per sweepInterval.
func (r *Registry) Sweep(now time.Time) {
	if now.Before(r.nextSweep) {
		return
	}
	r.nextSweep = now.Add(sweepInterval)
	for stream, found := range r.records {
		if now.After(found.expires) {
			delete(r.records, stream)
		}
	}
}

// Len returns the number of records.
func (r *Registry) Len() int { return len(r.records) }

// Merge collects the possible origins of a stream, such as the replies of several storage
// VMs. The origin is known if all of them agree.
type Merge struct{ origins []Origin }

// Add adds a reply.
func (m *Merge) Add(reply *LookupReply) {
	for _, o := range reply.Origins {
		m.add(o)
	}
}

func (m *Merge) add(o Origin) {
	if !slices.Contains(m.origins, o) {
		m.origins = append(m.origins, o)
	}
}

// Any reports whether there is any.
func (m *Merge) Any() bool { return len(m.origins) > 0 }

// Origin returns the origin, and whether it is known.
func (m *Merge) Origin() (Origin, bool) {
	if len(m.origins) != 1 {
		return Origin{}, false
	}
	return m.origins[0], true
}
