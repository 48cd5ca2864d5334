package peer

import (
	"context"
	"crypto/sha256"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/mangoknot/mangoknot/adapter/certs"
	"github.com/mangoknot/mangoknot/adapter/certs/certtest"
	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/adapter/history"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/membership"
	"github.com/mangoknot/mangoknot/port"
)

// testMessage is the control message of these tests.
type testMessage struct{ Number int }

func (*testMessage) MessageName() string { return "test.note" }

type inbox chan *testMessage

func (i inbox) Receive(_ domain.VM, m domain.Message) bool {
	i <- m.(*testMessage)
	return true
}

// waitLimit bounds each wait. Without a fault a wait is much shorter.
const waitLimit = 20 * time.Second

// startPair returns a client of VM a that is connected to a server of VM b, and
// the messages and the history store of b.
func startPair(t *testing.T) (*Client, inbox, *history.Memory) {
	t.Helper()
	c, err := codec.New([]domain.Message{&testMessage{}}, nil)
	must.NoError(t, err)
	received := make(inbox, queueLength)
	store := history.NewMemory()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := NewServer(c, received, store, logr.Discard()).GRPC()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	client := NewClient("a", c, insecure.NewCredentials(), logr.Discard(), func(domain.VM) {})
	t.Cleanup(client.Close)
	client.SetAddresses(map[domain.VM]string{"b": listener.Addr().String()})
	return client, received, store
}

func (i inbox) next(t *testing.T) int {
	t.Helper()
	select {
	case n := <-i:
		return n.Number
	case <-time.After(waitLimit):
		t.Fatal("no message arrived")
		return 0
	}
}

// Guards against messages that are lost or reordered on one connection, and
// against a link that does not reconnect after a replacement.
func TestMessagesSurviveReplacement(t *testing.T) {
	client, received, _ := startPair(t)
	for n := range 300 {
		must.True(t, client.Send(domain.Send{To: "b", Body: &testMessage{n}}))
	}
	for n := range 300 {
		must.Eq(t, n, received.next(t))
	}
	client.Reconnect("b")
	must.True(t, client.Send(domain.Send{To: "b", Body: &testMessage{1000}}))
	for received.next(t) != 1000 {
	}
	must.False(t, client.Send(domain.Send{To: "unknown", Body: &testMessage{}}))
}

// Guards against a probe that is sent over the connection that it checks: each
// message that is marked Fresh must arrive over a new connection.
func TestFreshProbeUsesNewConnection(t *testing.T) {
	c, err := codec.New(membership.Messages(), nil)
	must.NoError(t, err)
	received := make(chan domain.Message, 10)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	accepted := &countingListener{Listener: listener}
	server := NewServer(c, handlerFunc(func(m domain.Message) { received <- m }), history.NewMemory(), logr.Discard()).GRPC()
	go func() { _ = server.Serve(accepted) }()
	t.Cleanup(server.Stop)
	client := NewClient("a", c, insecure.NewCredentials(), logr.Discard(), func(domain.VM) {})
	t.Cleanup(client.Close)
	client.SetAddresses(map[domain.VM]string{"b": listener.Addr().String()})
	for _, m := range []domain.Message{&membership.Ping{Sequence: 1}, &membership.Ping{Sequence: 2, Fresh: true}, &membership.Ack{Sequence: 3, Fresh: true}} {
		must.True(t, client.Send(domain.Send{To: "b", Body: m}))
		select {
		case <-received:
		case <-time.After(waitLimit):
			t.Fatal("a probe did not arrive")
		}
	}
	must.Eq(t, 3, int(accepted.count.Load()))
}

type countingListener struct {
	net.Listener
	count atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.count.Add(1)
	}
	return conn, err
}

type handlerFunc func(domain.Message)

func (f handlerFunc) Receive(_ domain.VM, m domain.Message) bool {
	f(m)
	return true
}

// Guards against a VM that sends messages under the name of another VM: with TLS,
// the stated name must be in the certificate.
func TestPeerNameMatchesCertificate(t *testing.T) {
	c, err := codec.New([]domain.Message{&testMessage{}}, nil)
	must.NoError(t, err)
	authority := certtest.NewAuthority(t)
	load := func(name string) *certs.Loader {
		loader, err := certs.NewLoader(authority.Issue(t, t.TempDir(), name), time.Now)
		must.NoError(t, err)
		return loader
	}
	received := make(inbox, 10)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := NewServer(c, received, history.NewMemory(), logr.Discard()).GRPC(grpc.Creds(credentials.NewTLS(load("b").Server())))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	send := func(claimed domain.VM, number int) {
		client := NewClient(claimed, c, credentials.NewTLS(load("a").Client()), logr.Discard(), func(domain.VM) {})
		t.Cleanup(client.Close)
		client.SetAddresses(map[domain.VM]string{"b": listener.Addr().String()})
		must.True(t, client.Send(domain.Send{To: "b", Body: &testMessage{number}}))
	}
	send("impostor", 1)
	send("a", 2)
	must.Eq(t, 2, received.next(t))
}

// Guards against history transfer errors that lose their type between VMs.
func TestHistoryTransfer(t *testing.T) {
	client, _, _ := startPair(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	data := []byte("turn")
	ref := port.HistoryRef{Program: domain.ProgramID{Account: "a", Name: "p"}, Length: 4, SHA256: sha256.Sum256(data)}
	_, err := client.Get(ctx, "b", ref)
	must.ErrorIs(t, err, port.ErrHistoryMissing)
	must.NoError(t, client.Put(ctx, "b", ref, data))
	got, err := client.Get(ctx, "b", ref)
	must.NoError(t, err)
	must.Eq(t, data, got)
	must.Error(t, client.Put(ctx, "b", ref, []byte("torn")))
	must.NoError(t, client.Delete(ctx, "b", ref.Program))
	_, err = client.Get(ctx, "b", ref)
	must.ErrorIs(t, err, port.ErrHistoryMissing)
}
