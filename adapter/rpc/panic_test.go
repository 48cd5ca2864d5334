package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
)

type handlerFunc func(domain.Message) domain.Message

func (h handlerFunc) Handle(_ context.Context, m domain.Message) (domain.Message, error) {
	return h(m), nil
}

// Guards against one message that ends the process because its handler panics or returns
// nothing.
func TestHandlerPanicFailsOnlyItsCall(t *testing.T) {
	c, err := codec.New(coordinator.Messages(), nil)
	must.NoError(t, err)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	server := NewServer(c, handlerFunc(func(m domain.Message) domain.Message {
		switch m.(type) {
		case *coordinator.Join:
			panic("handler")
		case *coordinator.Received:
			return nil
		default:
			return m
		}
	}), logr.Discard())
	go server.Serve(l) //nolint:errcheck // ends with Stop
	defer server.Stop()
	client := NewClient(c)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, m := range []domain.Message{&coordinator.Join{}, &coordinator.Received{}} {
		_, err = client.Call(ctx, l.Addr().String(), m)
		must.Error(t, err)
	}
	_, err = client.Call(ctx, l.Addr().String(), &coordinator.Report{})
	must.NoError(t, err)
}
