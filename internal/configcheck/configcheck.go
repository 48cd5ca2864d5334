// Package configcheck checks a configuration of the platform roles before an operator sends it.
package configcheck

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/platform"
)

const (
	// readTimeout bounds the read of the configuration in force.
	readTimeout = 10 * time.Second
	// maxBytes bounds the size of a configuration that is read from a coordinator.
	maxBytes = 16 << 20
)

// Options names what is checked.
type Options struct {
	// File is the path of the configuration.
	File string
	// InForce is a path, or the address of a coordinator as http://HOST:PORT, of the
	// configuration to compare with; "" compares with none.
	InForce string
	// Settings is the path of the settings file of any VM of the deployment, which lists its
	// regions, or "".
	Settings string
}

// FaultsError is returned if the configuration is valid but has entries that never match or
// limits that contradict each other.
type FaultsError struct{ Faults int }

func (e *FaultsError) Error() string {
	return fmt.Sprintf("%d entries never match or contradict each other; correct them, or send the configuration as it is if they are intended", e.Faults)
}

// Run checks a configuration and writes the findings, one a line. It returns a
// *manifest.InvalidError for a configuration that would be rejected and a *FaultsError for one
// with faults.
func Run(ctx context.Context, o Options, out io.Writer) error {
	next, err := readFile(o.File)
	if err != nil {
		return err
	}
	var inForce *manifest.Manifest
	if o.InForce != "" {
		if inForce, err = readInForce(ctx, o.InForce); err != nil {
			return fmt.Errorf("the configuration in force: %w", err)
		}
	}
	regions, err := readRegions(o.Settings)
	if err != nil {
		return err
	}
	faults := 0
	for _, f := range manifest.Review(next, regions, inForce) {
		if f.Kind != manifest.Difference {
			faults++
		}
		if _, err := fmt.Fprintln(out, f); err != nil {
			return fmt.Errorf("write the findings: %w", err)
		}
	}
	if faults > 0 {
		return &FaultsError{Faults: faults}
	}
	return nil
}

func readFile(path string) (*manifest.Manifest, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	return platform.DecodeManifest(raw)
}

func readInForce(ctx context.Context, source string) (*manifest.Manifest, error) {
	if !strings.HasPrefix(source, "http://") {
		return readFile(source)
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(source, "/")+"/config", nil)
	if err != nil {
		return nil, fmt.Errorf("read it: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read it: %w", err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	if err != nil {
		return nil, fmt.Errorf("read it: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the coordinator answered with status %d; ask another one", response.StatusCode)
	}
	return platform.DecodeManifest(raw)
}

// readRegions returns the regions that a settings file lists, or nil without a file.
func readRegions(path string) ([]domain.Region, error) {
	if path == "" {
		return nil, nil
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return nil, err
	}
	var out []domain.Region
	for _, region := range settings.Regions {
		if !slices.Contains(out, region) {
			out = append(out, region)
		}
	}
	return out, nil
}
