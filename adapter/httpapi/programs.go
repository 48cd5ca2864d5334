package httpapi

import (
	"encoding/json"
	"net/http"

	"github.com/mangoknot/mangoknot/adapter/jsonhttp"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// programBody is the JSON encoding of a program's status.
type programBody struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
	Turns  int    `json:"turns"`
	Spent  int64  `json:"spent_micros"`
	Budget int64  `json:"budget_micros"`
}

func programBodyOf(s port.ProgramStatus) programBody {
	state := "open"
	if s.Ended {
		state = "ended"
	}
	return programBody{
		Name: string(s.Name), State: state, Reason: string(s.Reason), Turns: s.Turns,
		Spent: int64(s.Spent), Budget: int64(s.Budget),
	}
}

func programNameFromPath(r *http.Request) (domain.ProgramName, error) {
	name, err := parseProgramName("path", r.PathValue("name"))
	if err != nil {
		return "", err
	}
	if name == "" {
		return "", badRequest("the program name is missing from the path")
	}
	return name, nil
}

func (a *API) getProgram(w http.ResponseWriter, r *http.Request, identity port.Identity) error {
	name, err := programNameFromPath(r)
	if err != nil {
		return err
	}
	status, err := a.node.GetProgram(r.Context(), identity, name)
	if err != nil {
		return err
	}
	jsonhttp.Write(w, http.StatusOK, programBodyOf(status))
	return nil
}

func (a *API) endProgram(w http.ResponseWriter, r *http.Request, identity port.Identity) error {
	name, err := programNameFromPath(r)
	if err != nil {
		return err
	}
	status, err := a.node.EndProgram(r.Context(), identity, name)
	if err != nil {
		return err
	}
	jsonhttp.Write(w, http.StatusOK, programBodyOf(status))
	return nil
}

type historyBody struct {
	Name     string            `json:"name"`
	Messages []json.RawMessage `json:"messages"`
}

func (a *API) history(w http.ResponseWriter, r *http.Request, identity port.Identity) error {
	name, err := programNameFromPath(r)
	if err != nil {
		return err
	}
	turns, err := a.node.History(r.Context(), identity, name)
	if err != nil {
		return err
	}
	messages, err := conversation(turns)
	if err != nil {
		return domain.NotRun(domain.ReasonHistoryCorrupt, "a stored turn cannot be decoded; ask the operator to check the other replica of the shard")
	}
	if messages == nil {
		messages = []json.RawMessage{}
	}
	jsonhttp.Write(w, http.StatusOK, historyBody{Name: string(name), Messages: messages})
	return nil
}
