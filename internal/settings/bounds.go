package settings

import (
	"errors"
	"strconv"
	"time"
)

// Bounds are the bounds on connections and heads at the addresses of a process. The daemon and the
// roles share them. A zero value sets no bound, or the one that is derived.
type Bounds struct {
	MaxConnections           int           `arg:"--max-connections,env:MANGOKNOT_MAX_CONNECTIONS" help:"connections of callers at a time; 0 derives the number from the memory and the descriptors" default:"0"`
	MaxPeerConnections       int           `arg:"--max-peer-connections,env:MANGOKNOT_MAX_PEER_CONNECTIONS" help:"connections of other VMs at a time; 0 derives the number from the memory and the descriptors" default:"0"`
	MaxServiceConnections    int           `arg:"--max-service-connections,env:MANGOKNOT_MAX_SERVICE_CONNECTIONS" help:"connections at a time at each other address, such as that of operators; 0 derives the number from the descriptors, at most 64" default:"0"`
	MaxConnectionsPerAddress int           `arg:"--max-connections-per-address,env:MANGOKNOT_MAX_CONNECTIONS_PER_ADDRESS" help:"connections of one remote address at a time, at each address of the process; 0 sets no bound, because all callers may come through one balancer" default:"0"`
	ReservedDescriptors      int           `arg:"--reserved-descriptors,env:MANGOKNOT_RESERVED_DESCRIPTORS" help:"percent of the descriptors that accepted connections leave to targets, peers and files" default:"20"`
	MaxEmptyBytes            int           `arg:"--max-empty-bytes,env:MANGOKNOT_MAX_EMPTY_BYTES" help:"bytes of line ends before a request line; 0 sets no bound" default:"1024"`
	MaxRequestLineBytes      int           `arg:"--max-request-line-bytes,env:MANGOKNOT_MAX_REQUEST_LINE_BYTES" help:"bytes of a request line; 0 sets no bound" default:"32768"`
	MaxHeadBytes             int           `arg:"--max-head-bytes,env:MANGOKNOT_MAX_HEAD_BYTES" help:"bytes of a caller's head; a limit of the configuration lowers it to twice that limit, or raises it to the limit; 0 sets no bound" default:"65536"`
	MaxServiceHeadBytes      int           `arg:"--max-service-head-bytes,env:MANGOKNOT_MAX_SERVICE_HEAD_BYTES" help:"bytes of a head at each other address; 0 sets no bound" default:"16384"`
	MaxHeadLines             int           `arg:"--max-head-lines,env:MANGOKNOT_MAX_HEAD_LINES" help:"lines of a head; 0 sets no bound" default:"8192"`
	PeerIdleTime             time.Duration `arg:"--peer-idle-time,env:MANGOKNOT_PEER_IDLE_TIME" help:"time after which a connection of another VM without calls is closed; 0s sets no bound" default:"10m"`
}

// Check returns all invalid bounds as one joined error, or nil.
func (b *Bounds) Check() error {
	var errs []error
	for name, value := range map[string]int{
		"max-connections": b.MaxConnections, "max-peer-connections": b.MaxPeerConnections,
		"max-service-connections": b.MaxServiceConnections, "max-connections-per-address": b.MaxConnectionsPerAddress,
		"max-empty-bytes": b.MaxEmptyBytes, "max-request-line-bytes": b.MaxRequestLineBytes, "max-head-bytes": b.MaxHeadBytes,
		"max-service-head-bytes": b.MaxServiceHeadBytes, "max-head-lines": b.MaxHeadLines,
	} {
		if value < 0 {
			errs = append(errs, invalidSetting(name, strconv.Itoa(value), "set 0 or more"))
		}
	}
	if b.ReservedDescriptors < 0 || b.ReservedDescriptors > 90 {
		errs = append(errs, invalidSetting("reserved-descriptors", strconv.Itoa(b.ReservedDescriptors), "set 0 to 90 percent"))
	}
	if b.PeerIdleTime < 0 {
		errs = append(errs, invalidSetting("peer-idle-time", b.PeerIdleTime.String(), "set 0s or more"))
	}
	return errors.Join(errs...)
}
