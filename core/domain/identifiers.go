// Package domain holds the identifiers, the money type, the refusals and the
// message and record interfaces that all decision packages share.
package domain

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
)

// VM names one process of the system on its own virtual machine.
type VM string

// DataCentre names a failure zone. Data centres can be cut off from each other.
type DataCentre string

// Region names a group of data centres joined to others by a narrow, paid link.
type Region string

// Account names a client account.
type Account string

// ProgramName is a program's name inside its client account.
type ProgramName string

// Target names a model engine worker or an application worker.
type Target string

// ModelName names a model that targets serve.
type ModelName string

// CallID identifies one call. The entry VM makes it; it is unique over all VMs.
type CallID string

// OperationID identifies one operator change and makes it idempotent.
type OperationID string

// Epoch is a fencing number. A higher epoch supersedes every lower one.
type Epoch uint64

// Tokens counts model tokens.
type Tokens int64

// Micros is an amount of money in 1/1,000,000 of the currency unit.
type Micros int64

// String prints the amount in currency units with six decimals.
func (m Micros) String() string {
	sign := ""
	if m < 0 {
		sign, m = "-", -m
	}
	return fmt.Sprintf("%s%d.%06d", sign, m/microsPerUnit, m%microsPerUnit)
}

// ProgramID identifies a program. Names of two client accounts never meet.
type ProgramID struct {
	Account Account
	Name    ProgramName
}

// String prints the identifier as account/name.
func (p ProgramID) String() string { return string(p.Account) + "/" + string(p.Name) }

// childSeparator joins a sub-agent's name to its parent's, so that the name
// itself says in which shard the family of programs lives.
const childSeparator = "/"

// Root returns the name of the topmost parent, which is the name itself for a
// program that is not a sub-agent.
func (n ProgramName) Root() ProgramName {
	root, _, _ := strings.Cut(string(n), childSeparator)
	return ProgramName(root)
}

// Parent returns the name of the program that started this one, or "".
func (n ProgramName) Parent() ProgramName {
	parent, _, ok := cutLast(string(n), childSeparator)
	if !ok {
		return ""
	}
	return ProgramName(parent)
}

// Child returns the name of a sub-agent of the program.
func (n ProgramName) Child(name ProgramName) ProgramName {
	return n + childSeparator + name
}

// ShardID identifies one shard of a data centre.
type ShardID struct {
	DataCentre DataCentre
	Number     uint32
}

// String prints the identifier as data-centre/number.
func (s ShardID) String() string { return fmt.Sprintf("%s/%d", s.DataCentre, s.Number) }

// Compare orders shards by data centre, then number.
func (s ShardID) Compare(other ShardID) int {
	return cmp.Or(cmp.Compare(s.DataCentre, other.DataCentre), cmp.Compare(s.Number, other.Number))
}

// homeSeparator separates a program's name from the data centre that homes it.
const homeSeparator = "@"

// ErrNoDataCentre says that the configuration lists no data centre.
var ErrNoDataCentre = errors.New("no home data centre is configured; wait until the first leader has fixed the list, or check the voters' settings")

// HomeDataCentre returns the data centre that owns a program. A name that ends
// in @<data centre> is homed there, if that data centre is known; other names
// are spread by a hash over the fixed, sorted list of homes. Sub-agents follow
// their topmost parent. The result never
// depends on which VMs are alive, so two sides of a partition agree.
func HomeDataCentre(id ProgramID, homes, known []DataCentre) (DataCentre, error) {
	if len(homes) == 0 {
		return "", ErrNoDataCentre
	}
	root := string(id.Name.Root())
	if _, suffix, ok := cutLast(root, homeSeparator); ok {
		if dc := DataCentre(suffix); slices.Contains(known, dc) {
			return dc, nil
		}
	}
	return homes[Hash64("home", string(id.Account), root)%uint64(len(homes))], nil
}

// NameWithHome returns a program name that is homed in the data centre.
func NameWithHome(base string, dc DataCentre) ProgramName {
	return ProgramName(base + homeSeparator + string(dc))
}

// ShardOf returns the shard of the data centre that holds a program. A program
// and its sub-agents share a shard, because they share a budget.
func ShardOf(id ProgramID, dc DataCentre, shards uint32) ShardID {
	return ShardID{dc, uint32(Hash64("shard", string(id.Account), string(id.Name.Root())) % uint64(shards))}
}

// AccountShard returns the shard of the data centre that holds the account's
// shared state (rate shares, budget escrow) in that data centre.
func AccountShard(account Account, dc DataCentre, shards uint32) ShardID {
	return ShardID{dc, uint32(Hash64("account", string(account)) % uint64(shards))}
}

// Hash64 hashes parts with a separator between them. The value is the same on
// every VM and in every version, because placement depends on it.
func Hash64(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return mix64(h.Sum64())
}

// mix64 spreads the low entropy of short FNV inputs over all bits, so that
// rendezvous hashing and the modulus are even.
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

func cutLast(s, separator string) (before, after string, found bool) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(separator):], true
}
