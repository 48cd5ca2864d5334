// Package vmlist reads the list of the system's VMs from a file that the platform
// maintains. The list may be out of date.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/go-logr/logr"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/membership"
	"github.com/mangoknot/mangoknot/port"
)

// entry is the JSON encoding of one VM in the file.
type entry struct {
	Name       domain.VM         `json:"name"`
	DataCentre domain.DataCentre `json:"data_centre"`
	Region     domain.Region     `json:"region"`
	// Leaving reports whether the platform is going to remove the VM.
	Leaving bool `json:"leaving"`
}

// maxFileBytes limits the size of the file. A list of 360 VMs takes less than
// 50 KB.
const maxFileBytes = 4 << 20

// Read returns the members that are listed in the file.
func Read(path string) ([]membership.Member, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("vmlist: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("vmlist: %s has %d bytes; the limit is %d", path, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("vmlist: %w", err)
	}
	var entries []entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, fmt.Errorf("vmlist: %s is not a JSON list of VMs (name, data_centre, region, leaving): %w", path, err)
	}
	out := make([]membership.Member, 0, len(entries))
	for _, e := range entries {
		m := membership.Member{VM: e.Name, DataCentre: e.DataCentre, Region: e.Region}
		if e.Leaving {
			m.State = membership.Leaving
		}
		out = append(out, m)
	}
	return out, nil
}

// File implements port.VMList by polling the file at Path every Interval.
type File struct {
	Path     string
	Interval time.Duration
	Log      logr.Logger
}

var _ port.VMList = File{}

// Watch implements port.VMList. It reads the file every Interval and reports its
// members. If the file cannot be read, it logs the error and the previous list
// remains in use.
func (f File) Watch(ctx context.Context, report func([]membership.Member)) error {
	ticker := time.NewTicker(f.Interval)
	defer ticker.Stop()
	for {
		members, err := Read(f.Path)
		if err != nil {
			f.Log.Error(err, "cannot read the list of VMs; the previous list remains in use")
		} else {
			report(members)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
