package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	platformv1 "github.com/skylarkwood/skylarkwood/api/platform/v1"
	"github.com/skylarkwood/skylarkwood/api/platform/v1/platformv1connect"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/response"
)

// NewHTTPClient returns the client for requests to backend servers. It keeps at most idle
// idle connections, in total and per host, and never sends a request twice.
func NewHTTPClient(idle int) *http.Client {
	d := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: noRetryTransport{response.NewTransport(&http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConns:        idle,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     time.Minute,
	})}}
}

// noRetryTransport prevents http.Transport from sending a request again. If an idle
// connection turns out to be closed, http.Transport retries requests that it considers
// idempotent and whose body it can rewind. A call that is not repeatable could run twice.
// Without GetBody and idempotency keys, the transport returns an error instead.
type noRetryTransport struct {
	next http.RoundTripper
}

func (t noRetryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	req := r.Clone(r.Context())
	req.GetBody = nil
	req.Header.Del("Idempotency-Key")
	req.Header.Del("X-Idempotency-Key")
	resp, err := t.next.RoundTrip(req)
	if err == nil {
		limitResponse(r.Context(), resp)
	}
	return resp, err
}

type kvClient struct {
	c platformv1connect.KeyValueServiceClient
}

// DialKV returns a client of the key-value service at a base URL.
func DialKV(hc *http.Client, url string) KV {
	return kvClient{platformv1connect.NewKeyValueServiceClient(hc, url)}
}

func (k kvClient) Get(ctx context.Context, key string) (Value, error) {
	resp, err := k.c.Get(ctx, connect.NewRequest(&platformv1.GetRequest{Key: key}))
	if err != nil {
		return Value{}, kvError(err)
	}
	return Value{resp.Msg.Value, resp.Msg.Version}, nil
}

func (k kvClient) CompareAndSwap(ctx context.Context, key string, data []byte, expected int64) (int64, error) {
	resp, err := k.c.CompareAndSwap(ctx, connect.NewRequest(&platformv1.CompareAndSwapRequest{
		Key:             key,
		Value:           data,
		ExpectedVersion: expected,
	}))
	if err != nil {
		return 0, kvError(err)
	}
	if !resp.Msg.Swapped {
		return resp.Msg.Version, ErrSwapFailed
	}
	return resp.Msg.Version, nil
}

func (k kvClient) Delete(ctx context.Context, key string) error {
	_, err := k.c.Delete(ctx, connect.NewRequest(&platformv1.DeleteRequest{Key: key}))
	return kvError(err)
}

func (k kvClient) Watch(ctx context.Context, key string, after int64, wait time.Duration) (Value, error) {
	resp, err := k.c.Watch(ctx, connect.NewRequest(&platformv1.WatchRequest{
		Key:          key,
		AfterVersion: after,
		WaitMs:       wait.Milliseconds(),
	}))
	if err != nil {
		return Value{}, kvError(err)
	}
	return Value{resp.Msg.Value, resp.Msg.Version}, nil
}

func kvError(err error) error {
	if err == nil {
		return nil
	}
	if connect.CodeOf(err) == connect.CodeNotFound {
		return ErrNotFound
	}
	return errors.Wrap(ErrUnknown, err.Error())
}

type instancesClient struct {
	c platformv1connect.InstanceListServiceClient
}

// DialInstances returns a client of the instance list at a base URL.
func DialInstances(hc *http.Client, url string) Instances {
	return instancesClient{platformv1connect.NewInstanceListServiceClient(hc, url)}
}

func (i instancesClient) List(ctx context.Context) ([]model.Instance, error) {
	resp, err := i.c.List(ctx, connect.NewRequest(&platformv1.ListRequest{}))
	if err != nil {
		return nil, errors.Wrap(err, "instance list")
	}
	out := make([]model.Instance, 0, len(resp.Msg.Instances))
	for _, in := range resp.Msg.Instances {
		out = append(out, model.Instance{
			ID:            in.Id,
			Role:          model.Role(in.Role),
			Address:       in.Address,
			FailureDomain: in.FailureDomain,
			Region:        in.Region,
			Leaving:       in.Leaving,
		})
	}
	return out, nil
}

type engineClient struct {
	c platformv1connect.EngineServiceClient
}

// DialEngine returns a client of the model engine at a base URL.
func DialEngine(hc *http.Client, url string) Engine {
	return engineClient{platformv1connect.NewEngineServiceClient(hc, url)}
}

func (e engineClient) Step(ctx context.Context, s Step) ([][]byte, error) {
	resp, err := e.c.Step(ctx, connect.NewRequest(&platformv1.StepRequest{
		Session:   s.Session,
		FromLayer: int32(s.Range.From),
		ToLayer:   int32(s.Range.To),
		Position:  s.Position,
		Inputs:    s.Inputs,
		Priority:  int32(s.Priority),
		Fence:     s.Fence,
	}))
	if err != nil {
		return nil, errors.Wrap(err, "engine step")
	}
	return resp.Msg.Outputs, nil
}

func (e engineClient) EndSession(ctx context.Context, session string, fence int64) error {
	_, err := e.c.EndSession(ctx, connect.NewRequest(&platformv1.EndSessionRequest{Session: session, Fence: fence}))
	return errors.Wrap(err, "end engine session")
}

func (e engineClient) EndAll(ctx context.Context, fence int64) (int, error) {
	resp, err := e.c.EndAll(ctx, connect.NewRequest(&platformv1.EndAllRequest{Fence: fence}))
	if err != nil {
		return 0, errors.Wrap(err, "end all engine sessions")
	}
	return int(resp.Msg.Ended), nil
}

func (e engineClient) Load(ctx context.Context) (EngineLoad, error) {
	resp, err := e.c.GetLoad(ctx, connect.NewRequest(&platformv1.GetLoadRequest{}))
	if err != nil {
		return EngineLoad{}, errors.Wrap(err, "engine load")
	}
	return EngineLoad{
		Active:   int(resp.Msg.Active),
		Capacity: int(resp.Msg.Capacity),
		Range:    model.LayerRange{From: int(resp.Msg.FromLayer), To: int(resp.Msg.ToLayer)},
		StepTime: time.Duration(resp.Msg.StepMicros) * time.Microsecond,
		Rate:     resp.Msg.PositionsPerSecond,
		MaxBatch: int(resp.Msg.Batch),
	}, nil
}

type plainClient struct {
	c platformv1connect.PlainServiceClient
}

// DialPlain returns a client of the plain service at a base URL.
func DialPlain(hc *http.Client, url string) Plain {
	return plainClient{platformv1connect.NewPlainServiceClient(hc, url)}
}

func (p plainClient) Call(ctx context.Context, id string, body []byte) ([]byte, error) {
	resp, err := p.c.Call(ctx, connect.NewRequest(&platformv1.CallRequest{CallId: id, Body: body}))
	if err != nil {
		return nil, errors.Wrap(err, "plain call")
	}
	return resp.Msg.Body, nil
}
