package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/adapter/grpcbytes"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/membership"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// queueLength bounds the control messages that are queued for one peer.
	queueLength = 4096
	// maxBatch bounds the messages of one frame.
	maxBatch = 128
	// maxProbeConnections bounds the probes in flight to one peer, each of which
	// uses a new connection.
	maxProbeConnections = 4
	// dialTimeout bounds one attempt to connect.
	dialTimeout = time.Second
	// minRetryDelay and maxRetryDelay bound the backoff between attempts to
	// connect.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// idleTimeout is the time without messages after which a connection is closed.
	idleTimeout = 30 * time.Second
)

// errReplaced is the cancellation cause of a connection that Reconnect closes.
var errReplaced = errors.New("the connection was replaced")

// Client sends control messages and transfers history bytes. It implements
// port.Peers and port.HistoryTransfer. It is safe for concurrent use.
type Client struct {
	self        domain.VM
	codec       *codec.Codec
	credentials credentials.TransportCredentials
	log         logr.Logger
	onDropped   func(domain.VM)

	mu    sync.Mutex
	links map[domain.VM]*link
	// closed prevents new links after Close.
	closed bool
}

var (
	_ port.Peers           = (*Client)(nil)
	_ port.HistoryTransfer = (*Client)(nil)
)

// NewClient returns a client without addresses. onDropped is called for each
// message that was not queued.
func NewClient(self domain.VM, c *codec.Codec, creds credentials.TransportCredentials, log logr.Logger, onDropped func(domain.VM)) *Client {
	return &Client{self: self, codec: c, credentials: creds, log: log, onDropped: onDropped, links: map[domain.VM]*link{}}
}

// Send implements port.Peers.
func (c *Client) Send(s domain.Send) bool {
	l := c.link(s.To)
	if l != nil && needsNewConnection(s.Body) {
		return l.sendOnNewConnection(s.Body)
	}
	if l != nil {
		select {
		case l.queue <- s.Body:
			return true
		default:
		}
	}
	c.onDropped(s.To)
	return false
}

// link returns the link to a VM, or nil when its address is not known.
func (c *Client) link(vm domain.VM) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[vm]
}

// needsNewConnection reports whether a message must use a new connection. Such a
// probe distinguishes a silent connection from a failed VM.
func needsNewConnection(m domain.Message) bool {
	switch m := m.(type) {
	case *membership.Ping:
		return m.Fresh
	case *membership.Ack:
		return m.Fresh
	default:
		return false
	}
}

// sendOnNewConnection sends one message over a new connection, which is closed
// afterwards. At most maxProbeConnections of them are open to one peer.
func (l *link) sendOnNewConnection(m domain.Message) bool {
	select {
	case l.probeSlots <- struct{}{}:
	default:
		l.client.onDropped(l.vm)
		return false
	}
	go func() {
		defer func() { <-l.probeSlots }()
		ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
		defer cancel()
		if err := l.sendOnce(ctx, m); err != nil {
			l.client.log.V(1).Info("a probe over a new connection failed", "peer", l.vm, "error", err.Error())
		}
	}()
	return true
}

// sendOnce opens a connection, sends one message and waits until the peer has
// read it.
func (l *link) sendOnce(ctx context.Context, m domain.Message) error {
	conn, err := l.client.dial(l.address, maxControlFrameBytes)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx = metadata.AppendToOutgoingContext(ctx, senderHeader, string(l.client.self))
	stream, err := conn.NewStream(ctx, &messageStream, messageMethod)
	if err != nil {
		return err
	}
	if err := l.sendBatch(stream, []domain.Message{m}); err != nil {
		return err
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	var reply []byte
	// The server ends the stream after it has read the message.
	if err := stream.RecvMsg(&reply); !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// Reconnect implements port.Peers. Queued messages are sent on the new connection.
func (c *Client) Reconnect(vm domain.VM) {
	l := c.link(vm)
	if l == nil {
		return
	}
	select {
	case l.replace <- struct{}{}:
		c.log.Info("replacing a silent connection", "peer", vm)
	default:
	}
	l.resetHistory()
}

// SetAddresses implements port.Peers. Links to VMs that are not listed or whose
// address has changed are closed.
func (c *Client) SetAddresses(addresses map[domain.VM]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	for vm, l := range c.links {
		if addresses[vm] != l.address {
			l.close()
			delete(c.links, vm)
		}
	}
	for vm, address := range addresses {
		if vm != c.self && c.links[vm] == nil {
			c.links[vm] = c.open(vm, address)
		}
	}
}

// Close closes all links.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for vm, l := range c.links {
		l.close()
		delete(c.links, vm)
	}
}

// open starts a link. Its connection is opened with the first message.
func (c *Client) open(vm domain.VM, address string) *link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{
		client:     c,
		vm:         vm,
		address:    address,
		queue:      make(chan domain.Message, queueLength),
		replace:    make(chan struct{}, 1),
		probeSlots: make(chan struct{}, maxProbeConnections),
		ctx:        ctx,
		cancel:     cancel,
	}
	go l.run()
	return l
}

// dial returns a gRPC connection whose messages are bounded by maxBytes.
func (c *Client) dial(address string, maxBytes int) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(c.credentials),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(grpcbytes.Codec{}), grpc.MaxCallRecvMsgSize(maxBytes), grpc.MaxCallSendMsgSize(maxBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minRetryDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: maxRetryDelay},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
	)
}

// link manages the connections to one peer. Its goroutine sends the queued
// messages and waits on channels while it is idle.
type link struct {
	client  *Client
	vm      domain.VM
	address string
	queue   chan domain.Message
	replace chan struct{}
	// probeSlots holds a token for each open probe connection.
	probeSlots chan struct{}
	// unsent is the batch that has not been sent yet. It is kept when the
	// connection is replaced.
	unsent []domain.Message
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	history *grpc.ClientConn
}

func (l *link) close() {
	l.cancel()
	l.resetHistory()
}

// run connects when a message is queued and disconnects after idleTimeout, so
// that hundreds of VMs do not keep a connection for each pair.
func (l *link) run() {
	delay := minRetryDelay
	for {
		if len(l.unsent) == 0 {
			select {
			case <-l.ctx.Done():
				return
			case first := <-l.queue:
				l.unsent = []domain.Message{first}
			}
		}
		err := l.connectAndSend()
		if err == nil {
			delay = minRetryDelay
			continue
		}
		if l.ctx.Err() != nil {
			return
		}
		// The unsent messages of a broken connection are dropped, because the
		// protocols resend them. Only a replacement keeps them.
		l.unsent = nil
		l.client.log.V(1).Info("connection ended; reconnecting", "peer", l.vm, "error", err.Error())
		l.pause(delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

// pause waits for the duration or until the link closes.
func (l *link) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-l.ctx.Done():
	case <-timer.C:
	}
}

// connectAndSend opens one connection and sends messages until the connection is
// idle, fails or is replaced, or the link closes. It returns nil when the
// connection was idle or replaced.
func (l *link) connectAndSend() error {
	conn, err := l.client.dial(l.address, maxControlFrameBytes)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(metadata.AppendToOutgoingContext(l.ctx, senderHeader, string(l.client.self)))
	defer cancel(nil)
	// A send blocks in flow control when the connection is silent, so another
	// goroutine cancels the stream when the connection is to be replaced.
	go func() {
		select {
		case <-l.replace:
			cancel(errReplaced)
		case <-ctx.Done():
		}
	}()
	stream, err := conn.NewStream(ctx, &messageStream, messageMethod, grpc.WaitForReady(true))
	if err == nil {
		err = l.sendQueued(ctx, stream)
	}
	if errors.Is(context.Cause(ctx), errReplaced) {
		return nil
	}
	return err
}

// sendQueued sends batches until the stream ends. It returns nil when the stream
// was closed because it was idle.
func (l *link) sendQueued(ctx context.Context, stream grpc.ClientStream) error {
	ended := make(chan error, 1)
	go func() {
		var reply []byte
		ended <- stream.RecvMsg(&reply)
	}()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		l.fillBatch()
		if err := l.sendBatch(stream, l.unsent); err != nil {
			return err
		}
		l.unsent = nil
		idle.Reset(idleTimeout)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-ended:
			return fmt.Errorf("peer closed the stream: %w", err)
		case <-idle.C:
			return stream.CloseSend()
		case first := <-l.queue:
			l.unsent = []domain.Message{first}
		}
	}
}

// sendBatch sends one frame. A batch that cannot be encoded is logged and
// dropped.
func (l *link) sendBatch(stream grpc.ClientStream, batch []domain.Message) error {
	frame, err := l.client.frame(batch)
	if err != nil {
		l.client.log.Error(err, "dropped messages that could not be encoded", "peer", l.vm)
		return nil
	}
	return stream.SendMsg(&frame)
}

// fillBatch adds queued messages to the unsent batch, up to maxBatch.
func (l *link) fillBatch() {
	for len(l.unsent) < maxBatch {
		select {
		case m := <-l.queue:
			l.unsent = append(l.unsent, m)
		default:
			return
		}
	}
}

// frame encodes a batch as a CBOR array of encoded messages.
func (c *Client) frame(batch []domain.Message) ([]byte, error) {
	encoded := make([][]byte, 0, len(batch))
	for _, m := range batch {
		data, err := c.codec.EncodeMessage(m)
		if err != nil {
			return nil, fmt.Errorf("peer: encode %s: %w", m.MessageName(), err)
		}
		encoded = append(encoded, data)
	}
	return cbor.Marshal(encoded)
}

// splitFrame is the inverse of Client.frame. The messages stay encoded.
func splitFrame(frame []byte) ([][]byte, error) {
	var batch [][]byte
	if err := decodeUntagged(frame, &batch); err != nil {
		return nil, err
	}
	return batch, nil
}

// historyRequest is the body of the history calls. It is encoded as CBOR under
// the names of its fields.
type historyRequest struct {
	Ref  port.HistoryRef
	Data []byte
}

// decodeUntagged decodes CBOR that does not contain registered types of
// adapter/codec.
func decodeUntagged(data []byte, into any) error {
	if err := cbor.Unmarshal(data, into); err != nil {
		return fmt.Errorf("peer: malformed frame: %w", err)
	}
	return nil
}

// resetHistory closes the connection for history calls. The next call opens a
// new one.
func (l *link) resetHistory() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.history != nil {
		l.history.Close()
		l.history = nil
	}
}

// historyConn returns the connection for history calls and opens it if needed.
func (l *link) historyConn() (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.history == nil {
		conn, err := l.client.dial(l.address, maxHistoryBytes)
		if err != nil {
			return nil, err
		}
		l.history = conn
	}
	return l.history, nil
}

// invoke runs one history call and returns the body of its reply.
func (c *Client) invoke(ctx context.Context, vm domain.VM, method string, request historyRequest) ([]byte, error) {
	l := c.link(vm)
	if l == nil {
		return nil, fmt.Errorf("peer: no address is known for VM %q; check that it is registered", vm)
	}
	conn, err := l.historyConn()
	if err != nil {
		return nil, err
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("peer: encode history: %w", err)
	}
	var reply []byte
	if err := conn.Invoke(ctx, method, &body, &reply); err != nil {
		return nil, fmt.Errorf("peer: VM %s: %w", vm, historyError(request.Ref, err))
	}
	return reply, nil
}

// historyError converts a gRPC status to the errors of port.HistoryTransfer. It
// is the inverse of historyStatus.
func historyError(ref port.HistoryRef, err error) error {
	switch status.Code(err) {
	case codes.NotFound:
		return port.ErrHistoryMissing
	case codes.DataLoss:
		return &port.CorruptHistoryError{Ref: ref, Detail: status.Convert(err).Message()}
	default:
		return err
	}
}

// Put implements port.HistoryTransfer.
func (c *Client) Put(ctx context.Context, vm domain.VM, ref port.HistoryRef, data []byte) error {
	_, err := c.invoke(ctx, vm, putMethod, historyRequest{Ref: ref, Data: data})
	return err
}

// Get implements port.HistoryTransfer.
func (c *Client) Get(ctx context.Context, vm domain.VM, ref port.HistoryRef) ([]byte, error) {
	return c.invoke(ctx, vm, getMethod, historyRequest{Ref: ref})
}

// Delete implements port.HistoryTransfer.
func (c *Client) Delete(ctx context.Context, vm domain.VM, program domain.ProgramID) error {
	_, err := c.invoke(ctx, vm, deleteMethod, historyRequest{Ref: port.HistoryRef{Program: program}})
	return err
}
