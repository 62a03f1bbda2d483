package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/status"

	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// GroupHandler is what an instance answers for its replicas.
type GroupHandler interface {
	Deliver(e group.Envelope)
	Probe(ctx context.Context, req *ProbeRequest) (*ProbeResponse, error)
	Form(ctx context.Context, req *FormRequest) (*Empty, error)
	Join(ctx context.Context, req *JoinRequest) (*Empty, error)
}

// Handler is what an instance that is driven by a configuration answers to others.
type Handler interface {
	GroupHandler
	Sync(ctx context.Context, req *SyncRequest) (*SyncResponse, error)
	Announce(ctx context.Context, req *AnnounceRequest) (*AnnounceResponse, error)
	Propose(ctx context.Context, req *ProposeRequest) (*ChangeResponse, error)
	Vote(ctx context.Context, req *VoteRequest) (*ChangeResponse, error)
	ReportCrash(ctx context.Context, req *CrashReportRequest) (*CrashReportResponse, error)
	NoticeCrash(ctx context.Context, req *CrashNoticeRequest) (*Empty, error)
	Status(ctx context.Context, req *StatusRequest) (*StatusResponse, error)
	Booking(ctx context.Context, req *BookingRequest) (*BookingResponse, error)
}

// DeploymentHandler is what an instance of a routed deployment answers to
// others.
type DeploymentHandler interface {
	GroupHandler
	ChangeConfig(ctx context.Context, req *ConfigChangeRequest) (*ConfigChangeResponse, error)
	AnnounceTarget(ctx context.Context, req *AnnounceTargetRequest) (*AnnounceTargetResponse, error)
	Barrier(ctx context.Context, req *BarrierRequest) (*BarrierResponse, error)
	Report(ctx context.Context, req *ReportRequest) (*ReportResponse, error)
	ReportHeartbeats(ctx context.Context, req *HeartbeatsRequest) (*Empty, error)
	// Watch sends updates until send fails or ctx ends.
	Watch(ctx context.Context, req *WatchRequest, send func(*ViewUpdate) error) error
}

const (
	serviceName     = "cranberrywind.Instance"
	maxMessageBytes = 1 << 30
	keepaliveTime   = 10 * time.Second
	keepaliveWait   = time.Second
)

// codec is the MessagePack codec for gRPC.
type codec struct{}

func (codec) Marshal(v any) (mem.BufferSlice, error) {
	return mem.BufferSlice{mem.SliceBuffer(wire.Encode(v))}, nil
}

func (codec) Unmarshal(data mem.BufferSlice, v any) error {
	return wire.Decode(data.Materialize(), v)
}

func (codec) Name() string { return wire.Name }

func init() { encoding.RegisterCodecV2(codec{}) }

// Serve answers other instances on the listener until the clean-up function is
// called, and counts their traffic.
func Serve(l net.Listener, h Handler, security Security, traffic *Traffic) func() {
	return serve(l, description(), h, security, traffic)
}

// ServeDeployment does the same for an instance of a routed deployment.
func ServeDeployment(l net.Listener, h DeploymentHandler, security Security, traffic *Traffic) func() {
	return serve(l, deploymentDescription(), h, security, traffic)
}

func serve(l net.Listener, d *grpc.ServiceDesc, h any, security Security, traffic *Traffic) func() {
	s := grpc.NewServer(
		grpc.Creds(security.serverCredentials()),
		grpc.StatsHandler(traffic),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveWait}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	)
	s.RegisterService(d, h)
	go func() { _ = s.Serve(l) }()
	return s.Stop
}

func description() *grpc.ServiceDesc {
	return &grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*Handler)(nil),
		Methods: append(groupMethods(),
			unary("Sync", Handler.Sync),
			unary("Announce", Handler.Announce),
			unary("Propose", Handler.Propose),
			unary("Vote", Handler.Vote),
			unary("Blame", Handler.ReportCrash),
			unary("Notice", Handler.NoticeCrash),
			unary("Status", Handler.Status),
			unary("Booking", Handler.Booking),
		),
		Streams: []grpc.StreamDesc{deliverStream()},
	}
}

func deploymentDescription() *grpc.ServiceDesc {
	return &grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*DeploymentHandler)(nil),
		Methods: append(groupMethods(),
			unary("Change", DeploymentHandler.ChangeConfig),
			unary("Announced", DeploymentHandler.AnnounceTarget),
			unary("Barrier", DeploymentHandler.Barrier),
			unary("Report", DeploymentHandler.Report),
			unary("Heard", DeploymentHandler.ReportHeartbeats),
		),
		Streams: []grpc.StreamDesc{deliverStream(), {StreamName: "Watch", Handler: watch, ServerStreams: true}},
	}
}

func groupMethods() []grpc.MethodDesc {
	return []grpc.MethodDesc{
		unary("Probe", GroupHandler.Probe),
		unary("Form", GroupHandler.Form),
		unary("Join", GroupHandler.Join),
	}
}

func deliverStream() grpc.StreamDesc {
	return grpc.StreamDesc{StreamName: "Deliver", Handler: deliver, ClientStreams: true, ServerStreams: true}
}

// unary describes a method with one request and one response.
func unary[H, Req, Res any](name string, call func(H, context.Context, *Req) (*Res, error)) grpc.MethodDesc {
	handler := func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		req := new(Req)
		if err := decode(req); err != nil {
			return nil, err
		}
		res, err := call(srv.(H), ctx, req)
		if err != nil {
			return nil, toStatus(err)
		}
		return res, nil
	}
	return grpc.MethodDesc{MethodName: name, Handler: handler}
}

// watch streams a view to one entry.
func watch(srv any, stream grpc.ServerStream) error {
	req := new(WatchRequest)
	if err := stream.RecvMsg(req); err != nil {
		return err
	}
	send := func(u *ViewUpdate) error { return stream.SendMsg(u) }
	return toStatus(srv.(DeploymentHandler).Watch(stream.Context(), req, send))
}

// deliver reads the messages of one peer's replicas and answers its pings,
// which are empty messages.
func deliver(srv any, stream grpc.ServerStream) error {
	for {
		var e group.Envelope
		if err := stream.RecvMsg(&e); err != nil {
			return err
		}
		if e.Group == "" {
			if err := stream.SendMsg(&Empty{}); err != nil {
				return err
			}
			continue
		}
		srv.(GroupHandler).Deliver(e)
	}
}

// NotLeaderError says where the leader of a group may be found.
type NotLeaderError struct{ Leader string }

// Error returns the message.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; the leader may be at %q", e.Leader)
}

// Is reports whether the target is replica.ErrNotLeader.
func (e *NotLeaderError) Is(target error) bool { return target == replica.ErrNotLeader }

// ErrRefused reports a request that the other instance turned down for good.
var ErrRefused = errors.New("refused")

// toStatus gives an error the gRPC code that fromStatus turns back.
func toStatus(err error) error {
	if err == nil {
		return nil
	}
	var notLeader *NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return status.Error(codes.FailedPrecondition, notLeader.Leader)
	case errors.Is(err, group.ErrOutcomeUnknown):
		return status.Error(codes.Unknown, err.Error())
	case errors.Is(err, ErrRefused):
		return status.Error(codes.PermissionDenied, err.Error())
	case errors.Is(err, group.ErrNotCommitted), errors.Is(err, replica.ErrTransferring), errors.Is(err, replica.ErrNotLeader):
		return status.Error(codes.Aborted, err.Error())
	default:
		return status.Error(codes.Internal, err.Error())
	}
}

func fromStatus(err error) error {
	if err == nil {
		return nil
	}
	switch s, _ := status.FromError(err); s.Code() {
	case codes.FailedPrecondition:
		return &NotLeaderError{Leader: s.Message()}
	case codes.PermissionDenied:
		return fmt.Errorf("%s: %w", s.Message(), ErrRefused)
	case codes.Aborted:
		return fmt.Errorf("%s: %w", s.Message(), group.ErrNotCommitted)
	case codes.Unavailable:
		return fmt.Errorf("%s: %w", s.Message(), ErrUnreachable)
	default:
		return fmt.Errorf("%s: %w", s.Message(), group.ErrOutcomeUnknown)
	}
}
