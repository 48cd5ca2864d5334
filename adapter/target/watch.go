package target

import (
	"bufio"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// WatchLoad implements port.TargetSignals.
func (c *Client) WatchLoad(ctx context.Context, target domain.Target, report func(port.LoadReport)) {
	failing := false
	for ctx.Err() == nil {
		load, err := c.loadReport(ctx, target)
		if err == nil {
			report(load)
		} else if !failing && ctx.Err() == nil {
			c.log.Info(logPrefix+"load reports failed; retrying", "target", target, "error", err.Error())
		}
		failing = err != nil
		sleepJittered(ctx, c.settings.LoadInterval)
	}
}

// loadReport requests one load report from the engine.
func (c *Client) loadReport(ctx context.Context, target domain.Target) (port.LoadReport, error) {
	var in struct {
		Instance string                      `json:"instance"`
		Running  int                         `json:"running"`
		Waiting  int                         `json:"waiting"`
		Tokens   domain.Tokens               `json:"tokens"`
		Models   map[domain.ModelName]string `json:"models"`
		Role     string                      `json:"role"`
	}
	err := c.control(ctx, target, http.MethodGet, "/control/load", nil, &in, c.settings.MaxControl)
	return port.LoadReport{
		Target: target, Instance: in.Instance, Running: in.Running, Waiting: in.Waiting,
		CacheTokens: in.Tokens, Models: in.Models, Role: in.Role,
	}, err
}

// sleepJittered waits for a delay between 0.5 and 1.5 times the mean, or for the
// end of the context. The jitter spreads the requests to many targets over time.
func sleepJittered(ctx context.Context, mean time.Duration) {
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// WatchCache implements port.TargetSignals.
func (c *Client) WatchCache(ctx context.Context, target domain.Target, report func(port.CacheEvent)) {
	w := &cacheWatch{client: c, target: target, report: report}
	failing := false
	for ctx.Err() == nil {
		received, err := w.connect(ctx)
		if (received || !failing) && ctx.Err() == nil {
			c.log.Info(logPrefix+"the stream of cache events ended; reconnecting", "target", target, "error", err.Error())
		}
		failing = true
		sleepJittered(ctx, c.settings.RetryDelay)
	}
}

// cacheWatch tracks the sequence numbers of the cache events of one engine.
type cacheWatch struct {
	client   *Client
	target   domain.Target
	report   func(port.CacheEvent)
	instance string
	lastSeq  uint64
}

// connect reports the events of one connection until it ends or is silent for
// too long. received reports whether any line arrived.
func (w *cacheWatch) connect(ctx context.Context) (received bool, err error) {
	base, err := w.client.address(w.target, config.TargetEngine)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(w.client.settings.WatchSilenceTimeout, cancel)
	defer silence.Stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/control/cache-events", nil)
	if err != nil {
		return false, err
	}
	a := &attempt{target: w.target}
	response, err := a.send(w.client.unpooled, r)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false, badAnswer(w.target, response.StatusCode, nil, "the engine answered with status %d", response.StatusCode)
	}
	for in := bufio.NewReader(response.Body); ; received = true {
		line, err := readLine(in, w.client.settings.MaxControl)
		if err != nil {
			return received, a.failure(ctx, err, true)
		}
		silence.Reset(w.client.settings.WatchSilenceTimeout)
		if err := w.handleLine(line); err != nil {
			return received, err
		}
	}
}

// handleLine decodes one line and reports its event. The sequence numbers start
// at 1 in each instance of the engine; a skipped number is a missed event.
func (w *cacheWatch) handleLine(line []byte) error {
	if len(line) == 0 { // a heartbeat
		return nil
	}
	var in struct {
		Instance string        `json:"instance"`
		Seq      uint64        `json:"seq"`
		Kind     string        `json:"kind"`
		Program  string        `json:"program"`
		Tokens   domain.Tokens `json:"tokens"`
	}
	if err := json.Unmarshal(line, &in); err != nil {
		return badAnswer(w.target, 0, nil, "a cache event is malformed: %w", err)
	}
	event := port.CacheEvent{
		Target: w.target, Instance: in.Instance, Seq: in.Seq, Stored: in.Kind == "stored", Tokens: in.Tokens,
		Restarted: w.instance != "" && w.instance != in.Instance,
	}
	event.Program, _ = parseProgramKey(in.Program) // a key of another client of the engine gives the zero value
	if w.instance != in.Instance {
		w.instance, w.lastSeq = in.Instance, 0
	}
	if in.Seq <= w.lastSeq { // a duplicate
		return nil
	}
	event.Missed = in.Seq - w.lastSeq - 1
	w.lastSeq = in.Seq
	w.report(event)
	return nil
}
