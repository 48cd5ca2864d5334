package listener

import (
	"math"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/mangoknot/mangoknot/core/connections"
)

const (
	// serviceBodyTime bounds the time in which a request to readiness, operators or metrics is
	// received with its body, and serviceWriteTime the time to its answer's end. A document of 8 MB
	// passes a link of 30 Mbit/s in 2.2 s.
	serviceBodyTime  = 10 * time.Second
	serviceWriteTime = 10 * time.Second
)

// Descriptors returns the limit on open descriptors of the process, or 0 if the system does not
// tell it.
func Descriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// Memory returns the memory of the machine in bytes, or 0 if the system does not tell it.
func Memory() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// GRPC returns the bounds of gRPC on connections: the time and the size of what opens them, and the time
// without calls.
func GRPC(headTime time.Duration, headBytes int, idleTime time.Duration) []grpc.ServerOption {
	options := []grpc.ServerOption{grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTime})}
	if headTime > 0 {
		options = append(options, grpc.ConnectionTimeout(headTime))
	}
	if headBytes > 0 {
		options = append(options, grpc.MaxHeaderListSize(uint32(headBytes)))
	}
	return options
}

// Bounded returns the bounds for a total that a setting may replace.
func Bounded(setting, derived, perAddress int) connections.Limits {
	if setting > 0 {
		derived = setting
	}
	return connections.Limits{Total: derived, PerAddress: perAddress}
}

// NewServer returns an HTTP server for short requests.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadTimeout: serviceBodyTime, WriteTimeout: serviceWriteTime}
}
