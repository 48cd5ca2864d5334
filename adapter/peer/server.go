package peer

import (
	"context"
	"errors"
	"io"
	"slices"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/adapter/grpcbytes"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// Handler receives the control messages of other VMs.
type Handler interface {
	// Receive accepts one control message. It returns false when the message was
	// dropped.
	Receive(from domain.VM, m domain.Message) bool
}

// Server serves the message streams and history calls of other VMs.
type Server struct {
	codec   *codec.Codec
	handler Handler
	history port.HistoryStore
	log     logr.Logger
}

// NewServer returns a server that passes control messages to handler and stores
// history bytes in history.
func NewServer(c *codec.Codec, handler Handler, history port.HistoryStore, log logr.Logger) *Server {
	return &Server{codec: c, handler: handler, history: history, log: log}
}

// GRPC returns a gRPC server with the service registered. options must include
// the transport credentials unless the network is trusted.
func (s *Server) GRPC(options ...grpc.ServerOption) *grpc.Server {
	options = append(options,
		grpc.ForceServerCodecV2(grpcbytes.Codec{}),
		grpc.MaxRecvMsgSize(maxControlFrameBytes),
	)
	server := grpc.NewServer(options...)
	server.RegisterService(s.description(), s)
	return server
}

func (s *Server) description() *grpc.ServiceDesc {
	return &grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Streams: []grpc.StreamDesc{
			{StreamName: "Messages", Handler: s.serveMessages, ClientStreams: true},
		},
		Methods: []grpc.MethodDesc{
			{MethodName: "PutHistory", Handler: unary(s.putHistory)},
			{MethodName: "GetHistory", Handler: unary(s.getHistory)},
			{MethodName: "DeleteHistory", Handler: unary(s.deleteHistory)},
		},
	}
}

func (s *Server) serveMessages(_ any, stream grpc.ServerStream) error {
	from, err := senderOf(stream.Context())
	if err != nil {
		return err
	}
	for {
		var frame []byte
		if err := stream.RecvMsg(&frame); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if err := s.deliver(from, frame); err != nil {
			return err
		}
	}
}

// deliver passes the messages of one frame to the handler.
func (s *Server) deliver(from domain.VM, frame []byte) error {
	batch, err := splitFrame(frame)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	for _, encoded := range batch {
		m, err := s.codec.DecodeMessage(encoded)
		if err != nil {
			// A peer that runs a newer version may send unknown message types.
			s.log.Info("skipped a message that could not be decoded", "from", from, "error", err.Error())
			continue
		}
		s.handler.Receive(from, m)
	}
	return nil
}

// senderOf returns the VM that opened the stream, after a check against its
// certificate.
func senderOf(ctx context.Context) (domain.VM, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	values := md.Get(senderHeader)
	if len(values) != 1 || values[0] == "" {
		return "", status.Error(codes.InvalidArgument, "peer: the stream has no header with the name of the sending VM")
	}
	vm := domain.VM(values[0])
	if err := checkCertificate(ctx, vm); err != nil {
		return "", err
	}
	return vm, nil
}

// checkCertificate rejects a sender whose stated name is not in its certificate,
// because votes and leases depend on the name of the sender. Without TLS there is
// no certificate, and the network must be trusted.
func checkCertificate(ctx context.Context, vm domain.VM) error {
	sender, ok := peer.FromContext(ctx)
	if !ok {
		return nil
	}
	info, ok := sender.AuthInfo.(credentials.TLSInfo)
	if !ok {
		return nil
	}
	for _, certificate := range info.State.PeerCertificates[:min(1, len(info.State.PeerCertificates))] {
		if certificate.Subject.CommonName == string(vm) || slices.Contains(certificate.DNSNames, string(vm)) {
			return nil
		}
	}
	return status.Errorf(codes.PermissionDenied, "peer: the certificate does not name VM %s; issue one with the VM's name as common name or DNS name", vm)
}

// unaryMethod serves one history call and returns the body of its reply.
type unaryMethod func(ctx context.Context, request historyRequest) ([]byte, error)

// unary adapts a method to the handler signature of gRPC: it decodes the request
// and converts errors to a status.
func unary(method unaryMethod) func(any, context.Context, func(any) error, grpc.UnaryServerInterceptor) (any, error) {
	return func(_ any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		var data []byte
		if err := decode(&data); err != nil {
			return nil, err
		}
		var request historyRequest
		if err := decodeUntagged(data, &request); err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		reply, err := method(ctx, request)
		if err != nil {
			return nil, historyStatus(err)
		}
		return &reply, nil
	}
}

func (s *Server) putHistory(ctx context.Context, request historyRequest) ([]byte, error) {
	return nil, s.history.Put(ctx, request.Ref, request.Data)
}

func (s *Server) getHistory(ctx context.Context, request historyRequest) ([]byte, error) {
	return s.history.Get(ctx, request.Ref)
}

func (s *Server) deleteHistory(ctx context.Context, request historyRequest) ([]byte, error) {
	return nil, s.history.Delete(ctx, request.Ref.Program)
}

// historyStatus converts an error of the store to a gRPC status, so that
// historyError can restore it.
func historyStatus(err error) error {
	var corrupt *port.CorruptHistoryError
	switch {
	case errors.Is(err, port.ErrHistoryMissing):
		return status.Error(codes.NotFound, err.Error())
	case errors.As(err, &corrupt):
		return status.Error(codes.DataLoss, corrupt.Detail)
	default:
		return status.Error(codes.Internal, err.Error())
	}
}
