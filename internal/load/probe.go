package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// StreamEnd describes how and when a stream ended.
type StreamEnd struct {
	Code    string    `json:"code"`
	Message string    `json:"message"`
	At      time.Time `json:"at"`
}

// HoldStream requests a long streamed answer from one VM and returns how it ended.
// It calls started when the first bytes arrive. The error means that the request
// was not sent.
func HoldStream(ctx context.Context, vm, key, model string, maxTokens int, started func()) (StreamEnd, error) {
	b := NewBalancer([]string{vm})
	b.Check(ctx)
	if b.Ready() == 0 {
		return StreamEnd{}, fmt.Errorf("load: the VM at %s is not ready", vm)
	}
	body, err := json.Marshal(chatBody{
		Model: model, MaxTokens: maxTokens, Stream: true, StreamOptions: &streamOpts{IncludeUsage: true},
		Messages: []Message{{Role: "user", Content: "Write a long list of part numbers."}},
	})
	if err != nil {
		return StreamEnd{}, err
	}
	var a answer
	r := request{account: Account{Key: key}, method: http.MethodPost, path: "/v1/chat/completions", body: body, contentType: "application/json", model: model}
	r.decode = func(body io.Reader, record *Record) error {
		return a.readStream(&firstReadNotifier{body: body, started: started}, record)
	}
	record, _ := NewClient(b, NewRecorder(nil)).attempt(ctx, r, 1)
	return StreamEnd{Code: record.Code, Message: record.Message, At: record.Sent.Add(record.Duration)}, nil
}

// firstReadNotifier calls started when the first bytes are read.
type firstReadNotifier struct {
	body    io.Reader
	started func()
}

func (f *firstReadNotifier) Read(p []byte) (int, error) {
	n, err := f.body.Read(p)
	if n > 0 && f.started != nil {
		f.started()
		f.started = nil
	}
	return n, err
}

// AwaitRefusal waits until every VM refuses the key with the code. It returns the
// time of the last VM's first such refusal, or an error that lists the VMs that
// did not refuse the key before the context ended.
func AwaitRefusal(ctx context.Context, vms []string, key, code string) (time.Time, error) {
	errs := make([]error, len(vms))
	times := make([]time.Time, len(vms))
	var probes sync.WaitGroup
	for i, vm := range vms {
		probes.Go(func() { times[i], errs[i] = awaitRefusalBy(ctx, vm, key, code) })
	}
	probes.Wait()
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last, errors.Join(errs...)
}

// awaitRefusalBy is AwaitRefusal for one VM.
func awaitRefusalBy(ctx context.Context, vm, key, code string) (time.Time, error) {
	client := newHTTPClient()
	got := "no answer"
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm+"/v1/models", nil)
		if err != nil {
			return time.Time{}, err
		}
		r.Header.Set("Authorization", "Bearer "+key)
		response, err := client.Do(r)
		if err == nil {
			var refused refusedError
			got = response.Status
			if json.NewDecoder(response.Body).Decode(&refused) == nil && refused.Detail.Code != "" {
				got = refused.Detail.Code
			}
			response.Body.Close()
			if got == code {
				return time.Now(), nil
			}
		}
		if !sleep(ctx, checkInterval/2) {
			return time.Time{}, fmt.Errorf("load: the VM at %s answers %q, not %q", vm, got, code)
		}
	}
}

// The ports are below the ephemeral range. A port of that range may be assigned to
// an outgoing connection before the VM that gets it starts.
const (
	lowestPort  = 10_240
	highestPort = 32_767
	portTries   = 1000
)

// FreePorts returns different TCP ports that are currently free on the loopback
// interface.
func FreePorts(count int) ([]int, error) {
	ports := make([]int, 0, count)
	for range portTries {
		if len(ports) == count {
			return ports, nil
		}
		port := lowestPort + rand.IntN(highestPort-lowestPort+1)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		// All listeners stay open until the end, so that no port is returned twice.
		defer listener.Close()
		ports = append(ports, port)
	}
	return nil, fmt.Errorf("load: found %d of %d free ports", len(ports), count)
}
