package daemon_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/adapter/logging"
	"github.com/mangoknot/mangoknot/adapter/operatorapi"
	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/emulator/engine"
	"github.com/mangoknot/mangoknot/emulator/tool"
	"github.com/mangoknot/mangoknot/internal/daemon"
	"github.com/mangoknot/mangoknot/internal/settings"
)

const (
	// waitLimit bounds each wait. It is much longer than a working system needs.
	waitLimit = 40 * time.Second
	pollDelay = 20 * time.Millisecond

	operatorToken = "operator-token-planted"
	keyOne        = "mk_key-one-planted"
	keyTwo        = "mk_key-two-planted"
)

// eventually polls until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(pollDelay) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", waitLimit, what)
		}
	}
}

// logBuffer collects the log lines of all VMs at the highest verbosity.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// vm is one running daemon.
type vm struct {
	*daemon.Daemon
	name string
	stop func()
	// done is closed when the actors have ended with err.
	done chan struct{}
	err  error
}

func startVM(t *testing.T, name string, d *daemon.Daemon, addActors func(*run.Group)) *vm {
	t.Helper()
	var group run.Group
	d.AddActors(&group)
	if addActors != nil {
		addActors(&group)
	}
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { <-ctx.Done(); return nil }, func(error) { cancel() })
	v := &vm{Daemon: d, name: name, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(v.done)
		v.err = group.Run()
	}()
	t.Cleanup(func() { v.stop(); <-v.done })
	return v
}

func (v *vm) get(t *testing.T, path, key string) (int, string) {
	t.Helper()
	return v.send(t, http.MethodGet, path, key, "")
}

// send sends one request. headers are alternating names and values.
func (v *vm) send(t *testing.T, method, path, key, body string, headers ...string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+v.CallerAddress()+path, strings.NewReader(body))
	must.NoError(t, err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, string(data)
}

func (v *vm) client(key string) *openai.Client {
	client := openai.NewClient(option.WithBaseURL("http://"+v.CallerAddress()+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0), option.WithRequestTimeout(waitLimit))
	return &client
}

func (v *vm) operator() *operatorapi.Client {
	return operatorapi.NewClient([]string{v.OperatorAddress()}, operatorToken, nil)
}

func (v *vm) ready(t *testing.T) bool {
	status, _ := v.get(t, "/readyz", "")
	return status == http.StatusOK
}

func inProgram(name string) option.RequestOption {
	return option.WithHeader("Mangoknot-Program", name)
}

func newMessages() option.RequestOption { return option.WithHeader("Mangoknot-Messages", "new") }

func chatParams(messages ...openai.ChatCompletionMessageParamUnion) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{Model: "model-a", Messages: messages}
}

func user(text string) openai.ChatCompletionMessageParamUnion { return openai.UserMessage(text) }

// system is 6 VMs in 3 data centres with an engine and a tool service in each
// data centre.
type system struct {
	vms     []*vm
	engines []*engine.Engine
	tools   []*tool.Service
	logs    *logBuffer
}

func loopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return l
}

var centres = []domain.DataCentre{"north", "south", "east"}

// startSystem starts a system and waits until it serves. With seedAll each VM
// starts with the addresses of all VMs, otherwise with those of the voters.
func startSystem(t *testing.T, seedAll bool) *system {
	t.Helper()
	s := &system{logs: &logBuffer{}}
	s.startVMs(t, seedAll)
	s.configure(t)
	eventually(t, "all VMs are ready and have the keys, and all shards have an owner and a backup", func() bool {
		for _, v := range s.vms {
			for _, key := range []string{keyOne, keyTwo} {
				if !v.ready(t) || v.Node.View().KeyByHash(sha256.Sum256([]byte(key))) == nil {
					return false
				}
			}
		}
		status, err := s.vms[0].operator().Status(t.Context())
		return err == nil && status.UnassignedShards == 0 && status.ShardsWithoutBackup == 0
	})
	return s
}

func (s *system) startVMs(t *testing.T, seedAll bool) {
	log, err := logging.New(s.logs, logging.Options{Format: logging.FormatText, Verbosity: 1})
	must.NoError(t, err)
	folder := t.TempDir()
	operators := filepath.Join(folder, "operators")
	sum := sha256.Sum256([]byte(operatorToken))
	must.NoError(t, os.WriteFile(operators, []byte("ops:"+hex.EncodeToString(sum[:])+"\n"), 0o600))
	var allSettings []settings.Settings
	var allListeners []daemon.Listeners
	var voters, members []string
	for i := range 2 * len(centres) {
		centre := centres[i%len(centres)]
		vmSettings := settings.Settings{
			VM: fmt.Sprintf("%s-%d", centre, i/len(centres)+1), DataCentre: string(centre), Region: "r1",
			Listen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
			OperatorsFile: operators, Insecure: true, CutOffKeys: "serve", LogFormat: "text",
			Homes: "north,south,east", VMListInterval: time.Second, DrainDeadline: time.Minute, UnreadyDelay: 2 * time.Second,
		}
		listeners, err := daemon.Listen(vmSettings)
		must.NoError(t, err)
		address := vmSettings.VM + "=" + listeners.Peers.Addr().String()
		members = append(members, address)
		if i < len(centres) {
			vmSettings.DataDir = filepath.Join(folder, vmSettings.VM)
			voters = append(voters, address)
		}
		allSettings, allListeners = append(allSettings, vmSettings), append(allListeners, listeners)
	}
	for i, vmSettings := range allSettings {
		vmSettings.Voters = strings.Join(voters, ",")
		if seedAll {
			vmSettings.Join = strings.Join(members, ",")
		}
		must.NoError(t, vmSettings.Check())
		d, err := daemon.NewWithListeners(vmSettings, allListeners[i], log, daemon.Experiment{})
		must.NoError(t, err)
		s.vms = append(s.vms, startVM(t, vmSettings.VM, d, nil))
	}
}

func (s *system) configure(t *testing.T) {
	t.Helper()
	commands := []config.Command{
		&config.PutModel{Model: config.ModelSpec{Name: "model-a", PromptPrice: 1_000_000, CachedPrice: 250_000, GeneratedPrice: 4_000_000, MaxContext: 1_000_000}},
	}
	var tools []domain.Target
	for _, centre := range centres {
		e := engine.New(engine.Settings{TimeScale: 20})
		service := tool.New()
		engineListener, toolListener := loopback(t), loopback(t)
		go func() { _ = e.Start(engineListener) }()
		go func() { _ = service.Start(toolListener) }()
		t.Cleanup(func() { _ = e.Close(); _ = service.Close() })
		s.engines, s.tools = append(s.engines, e), append(s.tools, service)
		name := domain.Target("tools-" + centre)
		tools = append(tools, name)
		commands = append(commands,
			&config.PutTarget{Target: config.TargetSpec{
				Name: domain.Target("engine-" + centre), Kind: config.TargetEngine, Address: engineListener.Addr().String(), DataCentre: centre, Region: "r1",
				Models: []domain.ModelName{"model-a"}, Fencing: true, CacheTokens: 1 << 18, MaxBatch: 32,
			}},
			&config.PutTarget{Target: config.TargetSpec{
				Name: name, Kind: config.TargetService, Address: toolListener.Addr().String(), DataCentre: centre, Region: "r1", MaxBatch: 32,
			}})
	}
	commands = append(commands,
		&config.PutRoute{Route: config.RouteSpec{Name: "payment", Timeout: 10 * time.Second, Price: 1_000, Targets: tools}},
		&config.PutRoute{Route: config.RouteSpec{Name: "status", Open: true, Repeatable: true, Timeout: 5 * time.Second, Targets: tools}})
	for account, key := range map[domain.Account]string{"one": keyOne, "two": keyTwo} {
		commands = append(commands,
			&config.PutAccount{Account: config.AccountSpec{
				Name: account, RatePerSecond: 500, Burst: 500, Weight: 1, MonthlyBudget: 1_000_000_000, ProgramBudget: 20_000_000,
			}},
			&config.PutKey{Key: config.KeySpec{ID: config.KeyID("key-" + account), Hash: sha256.Sum256([]byte(key)), Account: account}})
	}
	for _, command := range commands {
		s.change(t, command)
	}
}

// change repeats a change with one operation id until it is accepted, because the
// voters may not have elected a leader yet.
func (s *system) change(t *testing.T, command config.Command) {
	t.Helper()
	operation := operatorapi.NewOperation()
	var last error
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(pollDelay) {
		state, err := s.vms[0].operator().State(t.Context())
		must.NoError(t, err)
		if _, last = s.vms[0].operator().Change(t.Context(), operation, state.Version, command); last == nil {
			return
		}
	}
	t.Fatalf("change %s: %v", command.RecordName(), last)
}

// slow slows the engines by the factor, so that streams are in progress during a
// fault.
func (s *system) slow(factor float64) {
	for _, e := range s.engines {
		e.Inject(engine.Fault{Kind: engine.FaultSlow, Factor: factor})
	}
}

// effects returns the total number of effects of all tool services.
func (s *system) effects() int {
	total := 0
	for _, service := range s.tools {
		for _, n := range service.Effects() {
			total += n
		}
	}
	return total
}
