// Package rpc carries requests and replies between the processes of the system
// over grpc-go. A connection that delivers no reply until the deadline of a call
// is replaced, because a connection can stay silent while new ones work.
package rpc

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/adapter/grpcbytes"
	"github.com/mangoknot/mangoknot/adapter/tcp"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

const (
	serviceName = "mangoknot.Calls"
	callMethod  = "/" + serviceName + "/Call"
	// maxMessageBytes bounds one message: a snapshot with a manifest of many
	// routes, or one part of a copy between storage VMs.
	maxMessageBytes = 32 << 20
	// dialTimeout bounds one attempt to connect. Another region is 16 ms away.
	// The first packet to a VM that is down is lost, and TCP retransmits it only
	// after one second, long after the VM may have restarted.
	dialTimeout = 200 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff between two attempts to
	// connect. The maximum is far below the time within which a restarted VM must
	// participate again.
	minRetryDelay = 30 * time.Millisecond
	maxRetryDelay = 100 * time.Millisecond
	// bufferBytes is the size of the read and the write buffer of a connection.
	// Messages are small, and small VMs have little memory.
	bufferBytes = 4 << 10
	// windowBytes is the flow control window. A fixed window disables the pings
	// that gRPC sends to estimate the bandwidth.
	windowBytes = 1 << 20
)

// Client calls other processes. It is safe for concurrent use.
type Client struct {
	codec *codec.Codec

	mu    sync.Mutex
	conns map[string]*conn
}

var _ port.RPCClient = (*Client)(nil)

// conn is a connection to one address.
type conn struct {
	*grpc.ClientConn
	// replies counts the calls that received a reply.
	replies atomic.Uint64
}

// NewClient returns a client without connections.
func NewClient(c *codec.Codec) *Client { return &Client{codec: c, conns: map[string]*conn{}} }

// Call implements port.RPCClient.
func (c *Client) Call(ctx context.Context, address string, m domain.Message) (domain.Message, error) {
	data, err := c.codec.EncodeMessage(m)
	if err != nil {
		return nil, fmt.Errorf("rpc: encode %s: %w", m.MessageName(), err)
	}
	connection, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	repliesBefore := connection.replies.Load()
	var reply []byte
	err = connection.Invoke(ctx, callMethod, &data, &reply, grpc.ForceCodecV2(grpcbytes.Codec{}))
	if err != nil {
		c.replaceIfSilent(address, connection, repliesBefore, err)
		return nil, fmt.Errorf("rpc: %s to %s: %w", m.MessageName(), address, err)
	}
	connection.replies.Add(1)
	return c.codec.DecodeMessage(reply)
}

// replaceIfSilent closes a connection that delivered no reply to any call while a
// call waited until its deadline. The next call opens a new connection.
func (c *Client) replaceIfSilent(address string, connection *conn, repliesBefore uint64, err error) {
	code := status.Code(err)
	if code != codes.DeadlineExceeded {
		return
	}
	if connection.replies.Load() != repliesBefore || connection.GetState() != connectivity.Ready {
		return
	}
	c.mu.Lock()
	if c.conns[address] == connection {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	connection.Close()
}

// conn returns the connection to the address and creates it if needed.
func (c *Client) conn(address string) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found, ok := c.conns[address]; ok {
		return found, nil
	}
	created, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minRetryDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxRetryDelay},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithIdleTimeout(0),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, fmt.Errorf("rpc: address %q: %w", address, err)
	}
	c.conns[address] = &conn{ClientConn: created}
	return c.conns[address], nil
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	return tcp.Dial(ctx, address, dialTimeout)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.conns {
		connection.Close()
		delete(c.conns, address)
	}
}

// NewServer returns a gRPC server that passes requests to a. limits bound its connections.
func NewServer(c *codec.Codec, a port.RPCHandler, log logr.Logger, limits ...grpc.ServerOption) *grpc.Server {
	s := grpc.NewServer(append(limits,
		grpc.ForceServerCodecV2(grpcbytes.Codec{}),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes),
	)...)
	s.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{{MethodName: "Call", Handler: handler(c, a, log)}},
	}, struct{}{})
	return s
}

// handler returns the gRPC handler of the method Call: it decodes the request,
// passes it to a and encodes the reply.
func handler(c *codec.Codec, a port.RPCHandler, log logr.Logger) func(any, context.Context, func(any) error, grpc.UnaryServerInterceptor) (any, error) {
	return func(_ any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (result any, failure error) {
		// gRPC does not recover panics, so one malformed message would end the process.
		defer func() {
			if value := recover(); value != nil {
				log.Error(fmt.Errorf("panic: %v", value), "rpc: a handler panicked; only its call fails. Report it as a bug", "stack", string(debug.Stack()))
				result, failure = nil, status.Error(codes.Internal, "rpc: the handler panicked")
			}
		}()
		var data []byte
		if err := decode(&data); err != nil {
			return nil, err
		}
		m, err := c.DecodeMessage(data)
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		reply, err := a.Handle(ctx, m)
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		out, err := c.EncodeMessage(reply)
		if err != nil {
			return nil, status.Error(codes.Internal, err.Error())
		}
		return &out, nil
	}
}
