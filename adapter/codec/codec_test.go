package codec

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/allowance"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
)

type innerRecord struct {
	Amount domain.Micros
	At     time.Time
	Hash   [4]byte
}

func (*innerRecord) RecordName() string { return "test.inner" }

type outerMessage struct {
	Body    domain.Record
	Bodies  []domain.Record
	Program domain.ProgramID
	ByShard map[domain.ShardID]int
	Bytes   []byte
}

func (*outerMessage) MessageName() string { return "test.outer" }

// Guards against losing the type of a record that is nested in a message, or the
// value of one of its fields.
func TestRoundTrip(t *testing.T) {
	c, err := New([]domain.Message{&outerMessage{}}, []domain.Record{&innerRecord{}})
	must.NoError(t, err)
	inner := &innerRecord{Amount: -3, At: time.Unix(5, 7).UTC(), Hash: [4]byte{1, 2, 3, 4}}
	want := &outerMessage{
		Body:    inner,
		Bodies:  []domain.Record{inner, inner},
		Program: domain.ProgramID{Account: "a", Name: "p"},
		ByShard: map[domain.ShardID]int{{DataCentre: "x", Number: 2}: 3},
		Bytes:   []byte{9},
	}
	data, err := c.EncodeMessage(want)
	must.NoError(t, err)
	got, err := c.DecodeMessage(data)
	must.NoError(t, err)
	must.Eq(t, domain.Message(want), got)
}

// Guards against totals that grow: they are sent to every gateway a few times a second.
func TestTotalsAreShort(t *testing.T) {
	c, err := New(coordinator.Messages(), nil)
	must.NoError(t, err)
	size := func(n int) int {
		v := &coordinator.View{}
		for range n {
			v.Allowances.Totals = append(v.Allowances.Totals, allowance.Total{
				Account: "acct0001", Admitted: 12345.125, Level: 14.125, Programs: 2, Demand: 13.625, StartsPerSecond: 0.75, AttemptsPerSecond: 4.5,
			})
		}
		data, err := c.EncodeMessage(v)
		must.NoError(t, err)
		return len(data)
	}
	must.LessEq(t, 100*36, size(100)-size(0))
}
