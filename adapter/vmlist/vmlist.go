// Package vmlist reads the platform's list of VMs of the system from a file
// that the platform rewrites. The list may lag behind.
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

// entry is one VM in the file.
type entry struct {
	Name       domain.VM         `json:"name"`
	DataCentre domain.DataCentre `json:"data_centre"`
	Region     domain.Region     `json:"region"`
	// Leaving says that the platform will take the VM away.
	Leaving bool `json:"leaving"`
}

// maxFileBytes bounds the list: 360 VMs take less than 50 KB.
const maxFileBytes = 4 << 20

// Read returns the members in the file.
func Read(path string) ([]membership.Member, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("vmlist: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("vmlist: %s has %d bytes; at most %d are read", path, info.Size(), maxFileBytes)
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

// File implements port.VMList.
type File struct {
	Path     string
	Interval time.Duration
	Log      logr.Logger
}

var _ port.VMList = File{}

// Watch implements port.VMList. It reports every readable version of the file;
// an unreadable one keeps the earlier list in use.
func (f File) Watch(ctx context.Context, report func([]membership.Member)) error {
	ticker := time.NewTicker(f.Interval)
	defer ticker.Stop()
	for {
		members, err := Read(f.Path)
		if err != nil {
			f.Log.Error(err, "the list of VMs cannot be read; the earlier one stays in use")
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
