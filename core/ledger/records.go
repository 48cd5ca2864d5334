package ledger

import "github.com/mangoknot/mangoknot/core/domain"

// Outbound is a message to the owner of a shard.
type Outbound struct {
	To   domain.ShardID
	Body domain.Message
}

// Effects is the result of a decision. The ledger has already applied the records;
// the caller makes them durable in order. It sends the messages only after these
// records and those of all earlier decisions are durable.
type Effects struct {
	Records  []domain.Record
	Outbound []Outbound
}

// Request is a holder's request to the root shard to release an amount.
type Request struct {
	Account domain.Account
	Month   Month
	From    domain.ShardID
	Amount  domain.Micros
}

// Denied is the root's answer to a request that it cannot meet. Free is the amount
// that the root could release instead.
type Denied struct {
	Account domain.Account
	Month   Month
	Reason  domain.Reason
	Free    domain.Micros
}

// Recall is the root's request to a holder to return up to Amount of what it has
// neither charged nor reserved.
type Recall struct {
	Account domain.Account
	Month   Month
	Amount  domain.Micros
}

// Transfer moves an amount between the root and a holder. The sender has already
// debited the amount; the receiver credits each number once. Return is set for a
// transfer from the holder to the root.
type Transfer struct {
	Account domain.Account
	Month   Month
	From    domain.ShardID
	Number  uint64
	Amount  domain.Micros
	Return  bool
}

// TransferReply acknowledges that a transfer is durably credited.
type TransferReply struct {
	Account domain.Account
	Month   Month
	From    domain.ShardID
	Number  uint64
	Return  bool
}

// UsageReport reports a holder's total charges of the month to the root. Charged
// never decreases.
type UsageReport struct {
	Account domain.Account
	Month   Month
	From    domain.ShardID
	Charged domain.Micros
}

// TransferSent records the debit of a transfer at its sender. The root adds a
// released amount to the net release of Day.
type TransferSent struct {
	Account domain.Account
	Month   Month
	Peer    domain.ShardID
	Number  uint64
	Amount  domain.Micros
	Day     int64
	Return  bool
}

// TransferReceived records the credit of a transfer at its receiver. The root
// subtracts a returned amount from the net release of Day.
type TransferReceived struct {
	Account domain.Account
	Month   Month
	Peer    domain.ShardID
	Number  uint64
	Amount  domain.Micros
	Day     int64
	Return  bool
}

// Reservation records the maximum cost of a call at its start.
type Reservation struct {
	Account domain.Account
	Month   Month
	Amount  domain.Micros
}

// Charge records the end of a reservation and the amount charged for the call.
// Both belong to the month of the reservation, so no call counts in two months.
type Charge struct {
	Account  domain.Account
	Month    Month
	Reserved domain.Micros
	Amount   domain.Micros
}

// HolderState is the snapshot record of a holder. Pending is the amount of the
// unacknowledged transfer to the root, or 0.
type HolderState struct {
	Account                               domain.Account
	Month                                 Month
	Credited, Returned, Charged, Reserved domain.Micros
	InNumber, OutNumber                   uint64
	Pending                               domain.Micros
}

// PeerState is the root's state of one holder. Pending is the amount of the
// unacknowledged transfer to the holder, or 0.
type PeerState struct {
	Shard               domain.ShardID
	Released, Returned  domain.Micros
	OutNumber, InNumber uint64
	Pending             domain.Micros
}

// RootState is the snapshot record of a root. DayNet is the amount released less
// the amount returned on Day.
type RootState struct {
	Account domain.Account
	Month   Month
	Day     int64
	DayNet  domain.Micros
	Peers   []PeerState
}

// MessageName implements domain.Message.
func (*Request) MessageName() string { return "ledger.Request" }

// MessageName implements domain.Message.
func (*Denied) MessageName() string { return "ledger.Denied" }

// MessageName implements domain.Message.
func (*Recall) MessageName() string { return "ledger.Recall" }

// MessageName implements domain.Message.
func (*Transfer) MessageName() string { return "ledger.Transfer" }

// MessageName implements domain.Message.
func (*TransferReply) MessageName() string { return "ledger.TransferReply" }

// MessageName implements domain.Message.
func (*UsageReport) MessageName() string { return "ledger.UsageReport" }

// RecordName implements domain.Record.
func (*TransferSent) RecordName() string { return "ledger.TransferSent" }

// RecordName implements domain.Record.
func (*TransferReceived) RecordName() string { return "ledger.TransferReceived" }

// RecordName implements domain.Record.
func (*Reservation) RecordName() string { return "ledger.Reservation" }

// RecordName implements domain.Record.
func (*Charge) RecordName() string { return "ledger.Charge" }

// RecordName implements domain.Record.
func (*HolderState) RecordName() string { return "ledger.HolderState" }

// RecordName implements domain.Record.
func (*RootState) RecordName() string { return "ledger.RootState" }

// Messages returns a zero value of each message for the codec.
func Messages() []domain.Message {
	return []domain.Message{&Request{}, &Denied{}, &Recall{}, &Transfer{}, &TransferReply{}, &UsageReport{}}
}

// Records returns a zero value of each record for the codec.
func Records() []domain.Record {
	return []domain.Record{&TransferSent{}, &TransferReceived{}, &Reservation{}, &Charge{}, &HolderState{}, &RootState{}}
}
