package operatorapi

import (
	"encoding/json"
	"fmt"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// ChangeRequest is the body of POST /v1/changes.
type ChangeRequest struct {
	Operation domain.OperationID `json:"operation"`
	// Base is the version that the change is based on, from GET /v1/state.
	Base uint64 `json:"base"`
	// Kind is the name of the command, for example PutAccount.
	Kind string `json:"kind"`
	// Command is the JSON encoding of the command's fields.
	Command json.RawMessage `json:"command"`
}

// ChangeResponse is the response body of an accepted change.
type ChangeResponse struct {
	Version uint64      `json:"version"`
	InForce []domain.VM `json:"in_force"`
	NotYet  []domain.VM `json:"not_yet_in_force"`
}

func newChangeResponse(inForce port.InForce) ChangeResponse {
	return ChangeResponse{Version: inForce.Version, InForce: inForce.Everywhere, NotYet: inForce.NotYet}
}

// WithdrawRequest is the body of POST /v1/keys/{id}/withdraw.
type WithdrawRequest struct {
	Operation domain.OperationID `json:"operation"`
}

// KeyState describes a key; it omits the hash.
type KeyState struct {
	ID        config.KeyID   `json:"id"`
	Account   domain.Account `json:"account"`
	Withdrawn bool           `json:"withdrawn"`
}

// State is the response body of GET /v1/state.
type State struct {
	Version     uint64                `json:"version"`
	Preset      config.PresetName     `json:"preset"`
	Presets     []config.PresetSpec   `json:"presets"`
	Accounts    []*config.AccountSpec `json:"accounts"`
	Keys        []KeyState            `json:"keys"`
	Models      []*config.ModelSpec   `json:"models"`
	Routes      []*config.RouteSpec   `json:"routes"`
	Targets     []*config.TargetSpec  `json:"targets"`
	VMs         []*config.VMSpec      `json:"vms"`
	Homes       []domain.DataCentre   `json:"homes"`
	Assignments []config.Assignment   `json:"assignments"`
}

// newState returns the parts of a configuration view that operators may read.
func newState(v *config.View) State {
	s := State{
		Version:     v.Version(),
		Preset:      v.Preset().Name,
		Accounts:    v.Accounts(),
		Models:      v.Models(),
		Routes:      v.Routes(),
		Targets:     v.Targets(),
		VMs:         v.VMs(),
		Homes:       v.Homes(),
		Assignments: v.Assignments(),
		Keys:        []KeyState{},
	}
	for _, name := range []config.PresetName{config.PresetOrdinary, config.PresetPeak, config.PresetMaintenance} {
		if preset, ok := v.PresetByName(name); ok {
			s.Presets = append(s.Presets, preset)
		}
	}
	for _, key := range v.Keys() {
		s.Keys = append(s.Keys, KeyState{ID: key.ID, Account: key.Account, Withdrawn: key.Withdrawn})
	}
	return s
}

// operatorCommands lists the commands that operators may send. Key withdrawals
// have a separate path, because they work without a majority. Shard assignments
// are made only by the system.
var operatorCommands = map[string]func() config.Command{
	"PutAccount":       func() config.Command { return &config.PutAccount{} },
	"PutKey":           func() config.Command { return &config.PutKey{} },
	"SetPreset":        func() config.Command { return &config.SetPreset{} },
	"PutPreset":        func() config.Command { return &config.PutPreset{} },
	"PutModel":         func() config.Command { return &config.PutModel{} },
	"PutRoute":         func() config.Command { return &config.PutRoute{} },
	"RemoveRoute":      func() config.Command { return &config.RemoveRoute{} },
	"PutTarget":        func() config.Command { return &config.PutTarget{} },
	"RemoveTarget":     func() config.Command { return &config.RemoveTarget{} },
	"SetTargetLeaving": func() config.Command { return &config.SetTargetLeaving{} },
	"RemoveVM":         func() config.Command { return &config.RemoveVM{} },
}

// commandKind returns the value of ChangeRequest.Kind for a command.
func commandKind(c config.Command) (string, error) {
	for name, make := range operatorCommands {
		if make().RecordName() == c.RecordName() {
			return name, nil
		}
	}
	return "", fmt.Errorf("operatorapi: operators cannot send %s", c.RecordName())
}
