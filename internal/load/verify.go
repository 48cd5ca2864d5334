package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"
)

// Emulators are the addresses of emulated engines and tool services, whose
// control interfaces return the requests that they received.
type Emulators struct {
	Engines []string
	Tools   []string
}

// releaseTimeout limits the time until engines have released the cache of ended
// programs. It exceeds a takeover, after which the new owner repeats the command.
const releaseTimeout = 15 * time.Second

// Verify compares the records of the emulators with the results of a run, and
// returns the guarantees that were violated. The error means that an emulator
// could not be read.
func (e Emulators) Verify(ctx context.Context, results []Result, accounts map[string]Account) ([]string, error) {
	var violations []string
	for _, check := range []func(context.Context, []Result, map[string]Account) ([]string, error){e.checkKeys, e.checkRunOnce, e.checkReleasedCache} {
		found, err := check(ctx, results, accounts)
		if err != nil {
			return violations, err
		}
		violations = append(violations, found...)
	}
	return violations, nil
}

// checkKeys searches all recorded requests for the keys of callers.
func (e Emulators) checkKeys(ctx context.Context, _ []Result, accounts map[string]Account) (violations []string, err error) {
	for _, address := range slices.Concat(e.Engines, e.Tools) {
		data, err := get(ctx, address, "/control/requests")
		if err != nil {
			return violations, err
		}
		for _, name := range slices.Sorted(maps.Keys(accounts)) {
			if bytes.Contains(data, []byte(accounts[name].Key)) {
				violations = append(violations, fmt.Sprintf("keys: the emulator at %s received the key of %s", address, name))
			}
		}
	}
	return violations, nil
}

// checkRunOnce counts the effects of each run-once call. A served call must have
// exactly one, a call with an unknown outcome at most one, any other call none.
func (e Emulators) checkRunOnce(ctx context.Context, results []Result, _ map[string]Account) (violations []string, err error) {
	effects := map[string]int{}
	for _, address := range e.Tools {
		if err := addEffects(ctx, address, effects); err != nil {
			return nil, err
		}
	}
	for _, r := range results {
		for _, path := range slices.Sorted(maps.Keys(r.RunOnceOutcomes)) {
			low, high := 0, 0
			switch r.RunOnceOutcomes[path] {
			case CodeServed:
				low, high = 1, 1
			case "unknown":
				high = 1
			}
			if n := effects[path]; n < low || n > high {
				violations = append(violations, fmt.Sprintf("run-once: %s had %d effects at the tool service, the caller received %q", path, n, r.RunOnceOutcomes[path]))
			}
		}
	}
	return violations, nil
}

// addEffects adds the effects that a tool service counted by request id to the
// totals of the paths that caused them.
func addEffects(ctx context.Context, address string, effects map[string]int) error {
	var requests []struct {
		Path   string
		Header http.Header
	}
	var counts map[string]int
	if err := getJSON(ctx, address, "/control/requests", &requests); err != nil {
		return err
	}
	if err := getJSON(ctx, address, "/control/effects", &counts); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, r := range requests {
		id := r.Header.Get("X-Request-Id")
		if !seen[id] {
			effects[r.Path] += counts[id]
		}
		seen[id] = true
	}
	return nil
}

// checkReleasedCache waits until no engine holds cached tokens of an ended program. After
// releaseTimeout it returns a violation for each engine and program that remains.
func (e Emulators) checkReleasedCache(ctx context.Context, results []Result, _ map[string]Account) ([]string, error) {
	ended := map[string]bool{}
	for _, r := range results {
		if r.Ended {
			ended[url.PathEscape(r.Account)+"/"+url.PathEscape(r.Program)] = true
		}
	}
	deadline := time.Now().Add(releaseTimeout)
	for {
		var violations []string
		for _, address := range e.Engines {
			var held map[string]int
			if err := getJSON(ctx, address, "/control/held", &held); err != nil {
				return nil, err
			}
			for _, program := range slices.Sorted(maps.Keys(held)) {
				if ended[program] {
					violations = append(violations, fmt.Sprintf("engine memory: the engine at %s holds %d tokens of the ended program %s", address, held[program], program))
				}
			}
		}
		if len(violations) == 0 || time.Now().After(deadline) || !sleep(ctx, checkInterval) {
			return violations, nil
		}
	}
}

func getJSON(ctx context.Context, address, path string, out any) error {
	data, err := get(ctx, address, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("load: %s of the emulator at %s is not valid: %w", path, address, err)
	}
	return nil
}

func get(ctx context.Context, address, path string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	response, err := newHTTPClient().Do(r)
	if err != nil {
		return nil, fmt.Errorf("load: read %s of the emulator: %w", path, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("load: %s of the emulator at %s: status %d", path, address, response.StatusCode)
	}
	return io.ReadAll(response.Body)
}

// InterruptedRequests returns a violation for each request that the VM at the
// address interrupted. A planned stop must not interrupt requests.
func InterruptedRequests(address string, records []Record) []string {
	var violations []string
	for _, r := range records {
		if r.VM == address && (r.Code == CodeAnswerLost || strings.HasPrefix(r.Code, "status_") || r.Code == "stopping") {
			violations = append(violations, fmt.Sprintf("planned stop: request of %s step %d ended with %s: %s", r.Program, r.Step, r.Code, r.Message))
		}
	}
	return violations
}
