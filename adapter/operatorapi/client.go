package operatorapi

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// clientTimeout limits the duration of one request.
	clientTimeout = 15 * time.Second
	// maxResponseBytes limits the size of a response. The state at the target size
	// is a few megabytes.
	maxResponseBytes = 64 << 20
)

// Client is a client of the operators' API. It sends each request to the first
// address and tries the next one only after a connection failure.
type Client struct {
	addresses []string
	scheme    string
	token     string
	http      *http.Client
}

// NewClient returns a client for the VMs at the addresses. It uses TLS unless
// tlsConfig is nil.
func NewClient(addresses []string, token string, tlsConfig *tls.Config) *Client {
	transport := &http.Transport{TLSClientConfig: tlsConfig}
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	return &Client{
		addresses: addresses,
		scheme:    scheme,
		token:     token,
		http:      &http.Client{Transport: transport, Timeout: clientTimeout},
	}
}

// RequestError is the error of an operator request that the VM refused.
type RequestError struct {
	Status   int
	Response ErrorResponse
}

// Error returns the code and the remedy.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Response.Code, e.Response.Outcome, e.Response.Message)
}

// NewOperation returns a new random operation id.
func NewOperation() domain.OperationID {
	var id [16]byte
	// rand.Read always returns a nil error; it ends the process if the system's
	// random source fails.
	_, _ = rand.Read(id[:])
	return domain.OperationID(hex.EncodeToString(id[:]))
}

// State returns the configuration in force on the VM.
func (c *Client) State(ctx context.Context) (State, error) {
	var out State
	err := c.call(ctx, http.MethodGet, "/v1/state", nil, &out)
	return out, err
}

// Status returns the VM's view of the system.
func (c *Client) Status(ctx context.Context) (port.Status, error) {
	var out port.Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &out)
	return out, err
}

// Spend returns the spend of all client accounts in the current month.
func (c *Client) Spend(ctx context.Context) (port.SpendReport, error) {
	var out port.SpendReport
	err := c.call(ctx, http.MethodGet, "/v1/spend", nil, &out)
	return out, err
}

// Forecast returns the forecast of next month's bills under a preset. An empty
// name selects the preset in force.
func (c *Client) Forecast(ctx context.Context, preset config.PresetName) ([]port.AccountForecast, error) {
	var out []port.AccountForecast
	err := c.call(ctx, http.MethodGet, "/v1/forecast?preset="+url.QueryEscape(string(preset)), nil, &out)
	return out, err
}

// Programs lists the programs of a client account, or all programs if the
// account is empty.
func (c *Client) Programs(ctx context.Context, account domain.Account) (port.ProgramReport, error) {
	var out port.ProgramReport
	err := c.call(ctx, http.MethodGet, "/v1/programs?account="+url.QueryEscape(string(account)), nil, &out)
	return out, err
}

// InForce returns the VMs on which a configuration version is in force.
func (c *Client) InForce(ctx context.Context, version uint64) (ChangeResponse, error) {
	var out ChangeResponse
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/in-force?version=%d", version), nil, &out)
	return out, err
}

// Change sends a configuration change that is based on version base. After a
// lost response it can be sent again with the same operation id.
func (c *Client) Change(ctx context.Context, operation domain.OperationID, base uint64, command config.Command) (ChangeResponse, error) {
	var out ChangeResponse
	kind, err := commandKind(command)
	if err != nil {
		return out, err
	}
	body, err := json.Marshal(command)
	if err != nil {
		return out, fmt.Errorf("operatorapi: encode the change: %w", err)
	}
	request := ChangeRequest{Operation: operation, Base: base, Kind: kind, Command: body}
	err = c.call(ctx, http.MethodPost, "/v1/changes", request, &out)
	return out, err
}

// WithdrawKey withdraws a key on all reachable VMs.
func (c *Client) WithdrawKey(ctx context.Context, operation domain.OperationID, key config.KeyID) (ChangeResponse, error) {
	var out ChangeResponse
	err := c.call(ctx, http.MethodPost, "/v1/keys/"+url.PathEscape(string(key))+"/withdraw", WithdrawRequest{Operation: operation}, &out)
	return out, err
}

// AddVoter adds a VM to the voters of the consensus group. It joins as a learner
// first.
func (c *Client) AddVoter(ctx context.Context, vm domain.VM) error {
	return c.call(ctx, http.MethodPost, "/v1/voters/"+url.PathEscape(string(vm)), nil, nil)
}

// RemoveVoter removes a VM from the voters of the consensus group.
func (c *Client) RemoveVoter(ctx context.Context, vm domain.VM) error {
	return c.call(ctx, http.MethodDelete, "/v1/voters/"+url.PathEscape(string(vm)), nil, nil)
}

// Drain starts a planned stop of the VM that receives the request, which is the
// VM at the first address unless the connection to it fails.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "/v1/drain", nil, nil)
}

func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	var encoded []byte
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("operatorapi: encode the request: %w", err)
		}
		encoded = data
	}
	var lastErr error
	for _, address := range c.addresses {
		request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(encoded))
		if err != nil {
			return fmt.Errorf("operatorapi: address %q: %w", address, err)
		}
		request.Header.Set("Authorization", "Bearer "+c.token)
		request.Header.Set("Content-Type", "application/json")
		response, err := c.http.Do(request)
		if err != nil {
			lastErr = err
			continue
		}
		return readResponse(response, into)
	}
	return fmt.Errorf("operatorapi: no VM responded at %s: %w", strings.Join(c.addresses, ", "), lastErr)
}

func readResponse(response *http.Response, into any) error {
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("operatorapi: read the response: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		refused := &RequestError{Status: response.StatusCode}
		if err := json.Unmarshal(data, &refused.Response); err != nil {
			return fmt.Errorf("operatorapi: the VM responded with status %d and a body that is not JSON", response.StatusCode)
		}
		return refused
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("operatorapi: decode the response: %w", err)
	}
	return nil
}
