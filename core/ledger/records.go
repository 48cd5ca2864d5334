package ledger

import "github.com/mangoknot/mangoknot/core/domain"

// Outbound is a message for the owner of another shard.
type Outbound struct {
	To   domain.ShardID
	Body domain.Message
}

// Effects is the result of a decision. The records are applied already. The
// caller makes them durable in order. It sends the messages only after these
// records and those of all earlier decisions are durable.
type Effects struct {
	Records  []domain.Record
	Outbound []Outbound
}

// Request asks the root shard for an amount.
type Request struct {
	Account domain.Account
	Month   Month
	From    domain.ShardID
	Amount  domain.Micros
}

// Denied answers a request that the root cannot meet. Free is what the root
// could release instead.
type Denied struct {
	Account domain.Account
	Month   Month
	Reason  domain.Reason
	Free    domain.Micros
}

// Recall asks a holder to return up to an amount that is not reserved.
type Recall struct {
	Account domain.Account
	Month   Month
	Amount  domain.Micros
}

// Transfer moves an amount. The sender debited it before; the receiver credits
// each number once. Return is set on the way from the holder to the root.
type Transfer struct {
	Account domain.Account
	Month   Month
	From    domain.ShardID
	Number  uint64
	Amount  domain.Micros
	Return  bool
}

// TransferReply confirms that a transfer is credited durably.
type TransferReply struct {
	Account domain.Account
	Month   Month
	From    domain.ShardID
	Number  uint64
	Return  bool
}

// UsageReport tells the root a holder's charges. The amount only grows.
type UsageReport struct {
	Account domain.Account
	Month   Month
	From    domain.ShardID
	Charged domain.Micros
}

// TransferSent records the debit of a transfer at its sender. Day is the day
// that counts the amount at the root.
type TransferSent struct {
	Account domain.Account
	Month   Month
	Peer    domain.ShardID
	Number  uint64
	Amount  domain.Micros
	Day     int64
	Return  bool
}

// TransferReceived records the credit of a transfer at its receiver.
type TransferReceived struct {
	Account domain.Account
	Month   Month
	Peer    domain.ShardID
	Number  uint64
	Amount  domain.Micros
	Day     int64
	Return  bool
}

// Reservation records the worst case of a started call.
type Reservation struct {
	Account domain.Account
	Month   Month
	Amount  domain.Micros
}

// Charge records the end of a reservation and what is charged for the call.
// Both count to the month of the reservation, so no call counts in two months.
type Charge struct {
	Account  domain.Account
	Month    Month
	Reserved domain.Micros
	Amount   domain.Micros
}

// HolderState is the snapshot of a holder.
type HolderState struct {
	Account                               domain.Account
	Month                                 Month
	Credited, Returned, Charged, Reserved domain.Micros
	InNumber, OutNumber                   uint64
	Pending                               domain.Micros
}

// PeerState is the root's account of one holder.
type PeerState struct {
	Shard               domain.ShardID
	Released, Returned  domain.Micros
	OutNumber, InNumber uint64
	Pending             domain.Micros
}

// RootState is the snapshot of a root.
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
