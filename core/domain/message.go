package domain

// Message is a payload that the control state machines of two VMs exchange.
// Implementations are pointers to plain structs with exported fields. A message
// must not be modified after it was sent, because in-memory delivery shares it.
type Message interface {
	// MessageName returns the stable name that identifies the type on the wire.
	MessageName() string
}

// Validator is a message that checks itself after it was decoded. A peer of another
// version may leave out parts on which the state machines rely.
type Validator interface {
	// Validate returns an error if the message lacks such a part.
	Validate() error
}

// Record is a durable entry. Implementations are pointers to plain structs with
// exported fields. A record must not be modified after it was written or sent.
type Record interface {
	// RecordName returns the stable name that identifies the type on disk.
	RecordName() string
}

// Send is a message addressed to another VM.
type Send struct {
	To   VM
	Body Message
}
