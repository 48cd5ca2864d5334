// Package rpc carries requests and replies between the processes of the system
// over grpc-go. A connection on which a call got no reply is replaced, because a
// connection can go silent for good while new ones work.
package rpc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

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
	// dialTimeout bounds one attempt to connect; a region is 16 ms away. The first
	// packet to a VM without power is lost and would be sent again after a second,
	// when the VM may be back for long.
	dialTimeout = 200 * time.Millisecond
	// minRetryDelay and lastRetryDelay bound the pause between two attempts to
	// connect. The last one is far below the time in which a returned VM must
	// take part again.
	minRetryDelay = 30 * time.Millisecond
	maxRetryDelay = 100 * time.Millisecond
	// bufferBytes is the size of the read and the write buffer of a connection.
	// Messages are small and memory is dear on small VMs.
	bufferBytes = 4 << 10
	// windowBytes is the flow control window. A fixed one spares the probes that
	// grpc sends to estimate the bandwidth.
	windowBytes = 1 << 20
)

// Client calls other processes. It is safe for concurrent use.
type Client struct {
	codec *codec.Codec

	mu    sync.Mutex
	conns map[string]*conn
}

var _ port.RPCClient = (*Client)(nil)

type conn struct {
	*grpc.ClientConn
	// replies counts the calls that got any reply.
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

// replaceIfSilent replaces a connection on which nothing came back while a call waited.
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

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.conns {
		connection.Close()
		delete(c.conns, address)
	}
}

// NewServer returns a grpc server that passes requests to the answerer.
func NewServer(c *codec.Codec, a port.RPCHandler) *grpc.Server {
	s := grpc.NewServer(
		grpc.ForceServerCodecV2(grpcbytes.Codec{}),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes),
	)
	s.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{{MethodName: "Call", Handler: handler(c, a)}},
	}, struct{}{})
	return s
}

func handler(c *codec.Codec, a port.RPCHandler) func(any, context.Context, func(any) error, grpc.UnaryServerInterceptor) (any, error) {
	return func(_ any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
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
