// Package domain defines the types that all decision packages share: identifiers,
// money, refusals, and the message and record interfaces.
package domain

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
)

// VM names one process of the system, which runs on its own virtual machine.
type VM string

// DataCentre names a failure zone. A network partition can separate data centres.
type DataCentre string

// Region names a group of data centres. Links between regions have little
// bandwidth and are billed.
type Region string

// Account names a client account.
type Account string

// ProgramName is a program's name inside its client account.
type ProgramName string

// Target names a back end that runs calls: a worker of a model engine or of an
// application service.
type Target string

// ModelName names a model that targets serve.
type ModelName string

// CallID identifies one call. The entry VM generates it; it is unique across all
// VMs.
type CallID string

// OperationID identifies one operator change, which makes resends idempotent.
type OperationID string

// Epoch is a fencing token. A higher epoch supersedes every lower one.
type Epoch uint64

// Tokens is a number of model tokens.
type Tokens int64

// Micros is an amount of money in 1/1,000,000 of the currency unit.
type Micros int64

// String formats the amount in currency units with six decimals.
func (m Micros) String() string {
	sign := ""
	if m < 0 {
		sign, m = "-", -m
	}
	return fmt.Sprintf("%s%d.%06d", sign, m/microsPerUnit, m%microsPerUnit)
}

// ProgramID identifies a program. Names are scoped to their client account.
type ProgramID struct {
	Account Account
	Name    ProgramName
}

// String formats the identifier as account/name.
func (p ProgramID) String() string { return string(p.Account) + "/" + string(p.Name) }

// childSeparator separates a sub-agent's name from its parent's. A sub-agent's name
// starts with that of its topmost parent, which determines the shard of both.
const childSeparator = "/"

// Root returns the name of the topmost parent. For a program that is not a
// sub-agent this is its own name.
func (n ProgramName) Root() ProgramName {
	root, _, _ := strings.Cut(string(n), childSeparator)
	return ProgramName(root)
}

// Parent returns the name of the program that started this sub-agent, or "".
func (n ProgramName) Parent() ProgramName {
	parent, _, ok := cutLast(string(n), childSeparator)
	if !ok {
		return ""
	}
	return ProgramName(parent)
}

// Child returns the full name of the program's sub-agent with the given name.
func (n ProgramName) Child(name ProgramName) ProgramName {
	return n + childSeparator + name
}

// ShardID identifies one shard of a data centre.
type ShardID struct {
	DataCentre DataCentre
	Number     uint32
}

// String formats the identifier as data-centre/number.
func (s ShardID) String() string { return fmt.Sprintf("%s/%d", s.DataCentre, s.Number) }

// Compare orders shards by data centre, then by number.
func (s ShardID) Compare(other ShardID) int {
	return cmp.Or(cmp.Compare(s.DataCentre, other.DataCentre), cmp.Compare(s.Number, other.Number))
}

// homeSeparator separates a program's name from the suffix that names its home
// data centre.
const homeSeparator = "@"

// ErrNoDataCentre is returned while no home data centre is configured.
var ErrNoDataCentre = errors.New("no home data centre is configured; wait until the first leader has fixed the list, or check the voters' settings")

// HomeDataCentre returns the home data centre of a program. A name that ends in
// @<data centre> has its home there, if that data centre is known. Other names are
// placed by a hash over the fixed, sorted list of homes. Sub-agents share the home
// of their topmost parent. The result does not depend on which VMs are alive, so
// both sides of a partition agree. It returns ErrNoDataCentre if homes is empty.
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

// NameWithHome returns a program name whose home is the data centre.
func NameWithHome(base string, dc DataCentre) ProgramName {
	return ProgramName(base + homeSeparator + string(dc))
}

// ShardOf returns the shard that holds a program whose home is the data centre.
// The parameter shards is the number of shards of a data centre. A program and its
// sub-agents share a shard, because they share a budget.
func ShardOf(id ProgramID, dc DataCentre, shards uint32) ShardID {
	return ShardID{dc, uint32(Hash64("shard", string(id.Account), string(id.Name.Root())) % uint64(shards))}
}

// AccountShard returns the shard of the data centre that holds the account's
// shared state (rate shares, budget escrow) in that data centre.
func AccountShard(account Account, dc DataCentre, shards uint32) ShardID {
	return ShardID{dc, uint32(Hash64("account", string(account)) % uint64(shards))}
}

// Hash64 returns a hash of the parts, each followed by a zero byte. The value must
// be the same on every VM and in every version, because placement depends on it.
func Hash64(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return mix64(h.Sum64())
}

// mix64 is a finaliser that distributes the hash of short FNV inputs over all
// bits, so that rendezvous hashing and the modulus are uniform.
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// cutLast is strings.Cut at the last separator.
func cutLast(s, separator string) (before, after string, found bool) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(separator):], true
}
