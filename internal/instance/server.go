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

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// GroupHandler handles calls to the replicas of an instance.
type GroupHandler interface {
	Deliver(e group.Envelope)
	Probe(ctx context.Context, req *ProbeRequest) (*ProbeResponse, error)
	Form(ctx context.Context, req *FormRequest) (*Empty, error)
	Join(ctx context.Context, req *JoinRequest) (*Empty, error)
}

// Handler handles calls from other instances in a deployment with a voted
// configuration.
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

// DeploymentHandler handles calls from other instances in a routed deployment.
type DeploymentHandler interface {
	GroupHandler
	ChangeConfig(ctx context.Context, req *ConfigChangeRequest) (*ConfigChangeResponse, error)
	Evacuate(ctx context.Context, req *EvacuateRequest) (*EvacuateResponse, error)
	AnnounceTarget(ctx context.Context, req *AnnounceTargetRequest) (*AnnounceTargetResponse, error)
	Barrier(ctx context.Context, req *BarrierRequest) (*BarrierResponse, error)
	Report(ctx context.Context, req *ReportRequest) (*ReportResponse, error)
	ConfirmConfig(ctx context.Context, req *ConfirmConfigRequest) (*ConfigConfirmation, error)
	ReportBatch(ctx context.Context, req *ReportBatchRequest) (*ReportBatchResponse, error)
	ReportHeartbeats(ctx context.Context, req *HeartbeatsRequest) (*Empty, error)
	KeyHeartbeat(ctx context.Context, req *KeyHeartbeatRequest) (*KeyHeartbeatResponse, error)
	Features(ctx context.Context, req *FeaturesRequest) (*FeaturesResponse, error)
	// Watch sends updates until send fails or ctx ends, and returns the error.
	Watch(ctx context.Context, req *WatchRequest, send func(*ViewUpdate) error) error
}

const (
	serviceName      = "cranberrywind.Instance"
	maxMessageBytes  = 1 << 30
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = time.Second
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

// Serve handles calls from other instances on the listener and counts their bytes in
// traffic. The returned function stops it.
func Serve(l net.Listener, h Handler, security Security, traffic *Traffic) func() {
	return serve(l, serviceDesc(), h, security, traffic)
}

// ServeDeployment is Serve for an instance of a routed deployment.
func ServeDeployment(l net.Listener, h DeploymentHandler, security Security, traffic *Traffic) func() {
	return serve(l, deploymentServiceDesc(), h, security, traffic)
}

func serve(l net.Listener, d *grpc.ServiceDesc, h any, security Security, traffic *Traffic) func() {
	s := grpc.NewServer(
		grpc.Creds(security.serverCredentials()),
		grpc.StatsHandler(traffic),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	)
	s.RegisterService(d, h)
	go func() { _ = s.Serve(l) }()
	return s.Stop
}

func serviceDesc() *grpc.ServiceDesc {
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

func deploymentServiceDesc() *grpc.ServiceDesc {
	return &grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*DeploymentHandler)(nil),
		Methods: append(groupMethods(),
			unary("Change", DeploymentHandler.ChangeConfig),
			unary("Evacuate", DeploymentHandler.Evacuate),
			unary("Announced", DeploymentHandler.AnnounceTarget),
			unary("Barrier", DeploymentHandler.Barrier),
			unary("Report", DeploymentHandler.Report),
			unary("ReportBatch", DeploymentHandler.ReportBatch),
			unary("ConfirmConfig", DeploymentHandler.ConfirmConfig),
			unary("Heard", DeploymentHandler.ReportHeartbeats),
			unary("KeyHeartbeat", DeploymentHandler.KeyHeartbeat),
			unary("Features", DeploymentHandler.Features),
		),
		Streams: []grpc.StreamDesc{deliverStream(), {StreamName: "Watch", Handler: handleWatch, ServerStreams: true}},
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
	return grpc.StreamDesc{StreamName: "Deliver", Handler: handleDeliver, ClientStreams: true, ServerStreams: true}
}

// unary returns the description of a method with one request and one response.
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

// handleWatch streams the updates of its view to an entry.
func handleWatch(srv any, stream grpc.ServerStream) error {
	req := new(WatchRequest)
	if err := stream.RecvMsg(req); err != nil {
		return err
	}
	send := func(u *ViewUpdate) error { return stream.SendMsg(u) }
	return toStatus(srv.(DeploymentHandler).Watch(stream.Context(), req, send))
}

// handleDeliver receives the messages of one peer's replicas. It answers pings,
// which are messages without a group.
func handleDeliver(srv any, stream grpc.ServerStream) error {
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

// NotLeaderError reports that the instance called does not lead the group. Leader is
// the leader's address as far as known, else empty.
type NotLeaderError struct{ Leader string }

// Error returns the message.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; the leader may be at %q", e.Leader)
}

// Is reports whether the target is replica.ErrNotLeader.
func (e *NotLeaderError) Is(target error) bool { return target == replica.ErrNotLeader }

// ErrRejected reports a request that the other instance rejected permanently. Retries
// do not help.
var ErrRejected = errors.New("refused")

// toStatus converts an error to a gRPC status, which fromStatus converts back.
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
	case errors.Is(err, deployment.ErrFeatureLevel):
		return status.Error(codes.Unimplemented, err.Error())
	case errors.Is(err, ErrRejected):
		return status.Error(codes.PermissionDenied, err.Error())
	case errors.Is(err, group.ErrNotCommitted), errors.Is(err, replica.ErrTransferring), errors.Is(err, replica.ErrNotLeader):
		return status.Error(codes.Aborted, err.Error())
	default:
		return status.Error(codes.Internal, err.Error())
	}
}

// fromStatus converts the error of a call. Codes without a case of their own, such as
// that of a timeout, become group.ErrOutcomeUnknown: the request may have had an
// effect.
func fromStatus(err error) error {
	if err == nil {
		return nil
	}
	switch s, _ := status.FromError(err); s.Code() {
	case codes.FailedPrecondition:
		return &NotLeaderError{Leader: s.Message()}
	case codes.Unimplemented:
		// gRPC also returns this code for a method that an earlier build does not have.
		return fmt.Errorf("%s: %w", s.Message(), deployment.ErrFeatureLevel)
	case codes.PermissionDenied:
		return fmt.Errorf("%s: %w", s.Message(), ErrRejected)
	case codes.Aborted:
		return fmt.Errorf("%s: %w", s.Message(), group.ErrNotCommitted)
	case codes.Unavailable:
		return fmt.Errorf("%s: %w", s.Message(), ErrUnreachable)
	default:
		return fmt.Errorf("%s: %w", s.Message(), group.ErrOutcomeUnknown)
	}
}
