package turnstore

import (
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
)

// Scoped is a message for the store of a regional set. A message without it is for the global
// set. A build from before regional sets rejects the whole message; it would ignore an additional
// field of the body and take a turn of a regional set for one of the global set.
type Scoped struct {
	Scope quorum.Scope
	Body  domain.Message
}

// MessageName implements domain.Message.
func (*Scoped) MessageName() string { return "turnstore.Scoped" }

// Validate returns an error if the body is missing or malformed.
func (s *Scoped) Validate() error {
	if s.Body == nil {
		return errIncomplete
	}
	if v, ok := s.Body.(domain.Validator); ok {
		return v.Validate()
	}
	return nil
}

// For returns the message as it is sent to a member of a set of the scope.
func For(scope quorum.Scope, m domain.Message) domain.Message {
	if scope == quorum.Global {
		return m
	}
	return &Scoped{Scope: scope, Body: m}
}

// NewScoped returns the empty store of a regional set on the disk with the ID.
func NewScoped(scope quorum.Scope, id quorum.StoreID) *Store {
	s := New()
	s.scope, s.id = scope, id
	return s
}

// Scope returns the scope of the sets that the store adopts.
func (s *Store) Scope() quorum.Scope { return s.scope }

// Belongs reports whether restored records belong to the store's scope and to the disk with the
// ID. They do not after the VM has moved to another region or its other records were deleted.
func (s *Store) Belongs(id quorum.StoreID) bool {
	return s.id == id && (s.set == nil || s.set.Scope == s.scope)
}
