package codec_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/controller"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/core/raft"
	"github.com/mangoknot/mangoknot/core/relay"
	"github.com/mangoknot/mangoknot/core/shard"
)

func newCodec(t testing.TB) *codec.Codec {
	c, err := codec.New(controller.Messages(), controller.Records())
	must.NoError(t, err)
	return c
}

// Guards against two message or record names that share a tag, and against a
// message or record of the controller that cannot be registered.
func TestAllTypesRegister(t *testing.T) { newCodec(t) }

// FuzzDecode guards against bytes from the network or the disk that crash the
// process. Any input either decodes to a registered type that can be encoded
// again, or returns an error.
func FuzzDecode(f *testing.F) {
	c := newCodec(f)
	change := &config.Change{Operation: "op", Command: &config.PutAccount{Account: config.AccountSpec{Name: "a"}}}
	entries := &raft.Entries{Entries: []raft.Entry{{Index: 1, Term: 1, Data: change}}}
	for _, m := range []interface{ MessageName() string }{
		&relay.Propose{Change: change},
		&shard.Append{Entries: []shard.Entry{{Record: &program.CallStarted{First: true}}}},
		&controller.ShardMessage{Body: &program.BeginCall{Call: "c"}},
	} {
		data, err := c.EncodeMessage(m)
		must.NoError(f, err)
		f.Add(data)
	}
	data, err := c.EncodeRecord(entries)
	must.NoError(f, err)
	f.Add(data)
	f.Add([]byte{0xf6})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := c.DecodeMessage(data); err == nil {
			_, err := c.EncodeMessage(m)
			must.NoError(t, err)
		}
		if r, err := c.DecodeRecord(data); err == nil {
			_, err := c.EncodeRecord(r)
			must.NoError(t, err)
		}
	})
}
