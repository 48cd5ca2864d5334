// Package origin records at which service and software version each resumable stream
// began. What two software versions of a service write does not fit together, so a stream
// may be resumed only at the version that began it. A caller resumes at any gateway and
// names only the ID of its first attempt, so storage VMs hold the records for all gateways.
//
// A record is true for as long as it exists, because it is made once, for the target whose
// first event is passed on. A missing record means that the origin is unknown, and the
// stream is not resumed. Records therefore need neither a disk nor a majority, and the
// first event does not wait for them.
package origin

import (
	"cmp"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Stream identifies a stream by the ID of the attempt that delivered its first event. Each
// client account has its own namespace.
type Stream struct {
	Account domain.Account
	ID      string
}

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the target.
	Version string
}

// Compare orders origins by service and version.
func Compare(a, b Origin) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
}

// Register records the origin of a stream.
type Register struct {
	Stream Stream
	Origin Origin
	// Retention is the time after which the stream cannot be resumed any more.
	Retention time.Duration
}

// MessageName implements domain.Message.
func (*Register) MessageName() string { return "origin.Register" }

// Registered is the reply to Register.
type Registered struct{}

// MessageName implements domain.Message.
func (*Registered) MessageName() string { return "origin.Registered" }

// Lookup requests the origin of a stream.
type Lookup struct{ Stream Stream }

// MessageName implements domain.Message.
func (*Lookup) MessageName() string { return "origin.Lookup" }

// LookupReply is the reply to Lookup. Origins is empty for an unknown stream. It has
// several entries if a caller used one ID for streams of different origins.
type LookupReply struct{ Origins []Origin }

// MessageName implements domain.Message.
func (*LookupReply) MessageName() string { return "origin.LookupReply" }

// Messages returns a value of each message type of the package, for codecs.
func Messages() []domain.Message {
	return []domain.Message{&Register{}, &Registered{}, &Lookup{}, &LookupReply{}}
}
