package port

import (
	"fmt"

	"github.com/mangoknot/mangoknot/core/reach"
)

// TunnelError means that a tunnel through another gateway could not be opened, or broke. The
// target is not at fault.
type TunnelError struct {
	Gateway string
	// NotSent reports whether nothing was sent to the target.
	NotSent bool
	Err     error
}

func (e *TunnelError) Error() string {
	return fmt.Sprintf("the tunnel through gateway %s failed; use another one: %v", e.Gateway, e.Err)
}

// Unwrap returns the cause and, if nothing was sent, ErrNotRun.
func (e *TunnelError) Unwrap() []error {
	if e.NotSent {
		return []error{ErrNotRun, e.Err}
	}
	return []error{e.Err}
}

// TunnelHost decides on the tunnels that a gateway serves for others.
type TunnelHost interface {
	// OpenTunnel counts a tunnel, or returns the reason why it is not opened.
	OpenTunnel(open *reach.Open) reach.Refusal
	// TunnelClosed counts the end of a tunnel that OpenTunnel has counted, with its bytes in
	// both directions. connectErr is the error of the connection to the target, if there was none.
	TunnelClosed(open *reach.Open, bytes int64, connectErr error)
}
