package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// control sends a request to the control interface of an engine on a new
// connection and decodes the answer into out. limit bounds the answer in bytes.
func (c *Client) control(ctx context.Context, target domain.Target, method, path string, in, out any, limit int) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ControlTimeout)
	defer cancel()
	base, err := c.address(target, config.TargetEngine)
	if err != nil {
		return err
	}
	r, err := controlRequest(ctx, method, base+path, in)
	if err != nil {
		return &port.Failure{Kind: port.FailureRefused, Target: target, Err: err}
	}
	a := &attempt{target: target}
	response, err := a.send(c.unpooled, r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	switch {
	case err != nil:
		return a.failure(ctx, err, true)
	case len(answer) > limit:
		return badAnswer(target, response.StatusCode, nil, "the answer exceeds %d bytes", limit)
	case response.StatusCode != http.StatusOK:
		return badAnswer(target, response.StatusCode, answer, "the control interface answered with status %d", response.StatusCode)
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return badAnswer(target, response.StatusCode, nil, "the answer of the control interface is malformed: %w", err)
	}
	return nil
}

// controlRequest returns a request with in as its JSON body, or without a body
// when in is nil.
func controlRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err == nil {
		r.Header.Set("Content-Type", contentJSON)
	}
	return r, err
}

// errorCode returns the code in an error answer of the control interface, or "".
func errorCode(err error) string {
	var f *port.Failure
	var refused struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if !errors.As(err, &f) || json.Unmarshal(f.Body, &refused) != nil {
		return ""
	}
	return refused.Error.Code
}

// programKey returns the key that identifies a program to engines. Its parts are
// escaped, so that no two programs share a key and the key is valid in a header.
func programKey(id domain.ProgramID) string {
	return url.PathEscape(string(id.Account)) + "/" + url.PathEscape(string(id.Name))
}

// parseProgramKey is the inverse of programKey. It reports whether the key is
// well formed.
func parseProgramKey(key string) (domain.ProgramID, bool) {
	account, name, found := strings.Cut(key, "/")
	account, errAccount := url.PathUnescape(account)
	name, errName := url.PathUnescape(name)
	return domain.ProgramID{Account: domain.Account(account), Name: domain.ProgramName(name)},
		found && errAccount == nil && errName == nil
}

// commandRequest is the JSON body of an engine command.
type commandRequest struct {
	Kind    port.EngineCommandKind `json:"kind"`
	Epoch   domain.Epoch           `json:"epoch"`
	Program string                 `json:"program,omitempty"`
	Model   domain.ModelName       `json:"model,omitempty"`
	Version string                 `json:"version,omitempty"`
	Role    string                 `json:"role,omitempty"`
	Data    []byte                 `json:"data,omitempty"`
}

// Execute implements port.EngineControl.
func (c *Client) Execute(ctx context.Context, target domain.Target, order port.EngineCommand) (port.EngineCommandResult, error) {
	in := commandRequest{
		Kind: order.Kind, Epoch: order.Epoch, Model: order.Model,
		Version: order.Version, Role: order.Role, Data: order.Data,
	}
	switch order.Kind {
	case port.CommandRelease, port.CommandExport, port.CommandImport:
		in.Program = programKey(order.Program)
	}
	var out struct {
		Tokens domain.Tokens `json:"tokens"`
		Data   []byte        `json:"data"`
	}
	err := c.control(ctx, target, http.MethodPost, "/control/orders", in, &out, c.settings.MaxAnswer)
	if err != nil {
		return port.EngineCommandResult{}, commandFailure(err)
	}
	return port.EngineCommandResult{Tokens: out.Tokens, Data: out.Data}, nil
}

// commandFailure wraps port.ErrFenced or port.ErrBusy in the failure of a command
// that the engine rejected for that reason.
func commandFailure(err error) error {
	var f *port.Failure
	if !errors.As(err, &f) {
		return err
	}
	switch errorCode(err) {
	case "fenced":
		f.Err = fmt.Errorf("order refused: %w", port.ErrFenced)
	case "busy":
		f.Err = fmt.Errorf("order refused: %w", port.ErrBusy)
	}
	return f
}
