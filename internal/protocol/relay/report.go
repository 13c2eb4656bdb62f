package relay

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/placement"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/platform"
)

// fetchReport requests an engine's report, within reportTimeout.
func (r *Relay) fetchReport(b *model.BackendServer) (model.EngineReport, error) {
	ctx, cancel := r.Processor.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	return r.Report(ctx, b)
}

// maxReportBytes bounds the size of a report. A report lists each stalled stream of the
// engine.
const maxReportBytes = 1 << 20

var errReportTooLong = errors.New("report exceeds the size limit")

// Report requests an engine's report. It returns errRestarted if another incarnation of the
// engine responded.
func (r *Relay) Report(ctx context.Context, b *model.BackendServer) (model.EngineReport, error) {
	requestedAt := r.Now()
	resp, err := r.BackendClient.Do(ctx, b.Address, &Request{Method: http.MethodGet, Target: platform.ReportPath, Host: b.Address, Header: http.Header{}})
	if err != nil {
		return model.EngineReport{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes+1))
	if err != nil {
		return model.EngineReport{}, err
	}
	if len(raw) > maxReportBytes {
		resp.Body.Discard()
		return model.EngineReport{}, errReportTooLong
	}
	info := platform.DecodeResponseInfo(resp.Status, resp.Header)
	if resp.Status != http.StatusOK {
		r.Pauses.Request(b.Incarnation(), info.Pause)
		return model.EngineReport{}, errors.Errorf("report request returned status %d", resp.Status)
	}
	report, err := platform.DecodeReport(raw)
	if err != nil {
		return model.EngineReport{}, err
	}
	if err := r.checkIncarnation(b, report); err != nil {
		return report, err
	}
	// A report without a start time may be of another incarnation.
	if report.Born == b.Born {
		r.observeRequests(b, info)
		r.Suspects.Responded(b.Incarnation(), requestedAt)
	}
	return report, nil
}

// errRestarted reports that another incarnation of an engine responded.
var errRestarted = errors.New("the engine was restarted")

// checkIncarnation returns an error if a report is from another incarnation than the one
// that was asked. A restarted engine may be recognized by its report before its entry is
// updated. The state of the previous incarnation does not apply to it.
func (r *Relay) checkIncarnation(b *model.BackendServer, report model.EngineReport) error {
	if b.Born == 0 || report.Born == 0 || report.Born == b.Born {
		return nil
	}
	conflicts := r.Catalog.ResolveIncarnation(b.Incarnation(), report.Born, report.Holds)
	klog.InfoS("engine report is from another incarnation", "server", b.Incarnation(), "address", b.Address, "born", report.Born, "news", len(conflicts.Exited) > 0)
	r.HandleExits(conflicts.Exited, "its report")
	return errors.Wrapf(errRestarted, "started at %d ms, expected %d ms", report.Born, b.Born)
}

// HandleExits records that incarnations of backend servers have exited. evidence names the
// source of that information, for the log.
func (r *Relay) HandleExits(exited []model.BackendServer, evidence string) {
	for _, b := range exited {
		klog.InfoS("backend server process exited", "server", b.Incarnation(), "address", b.Address, "evidence", evidence)
		r.BackendClient.CloseIdle(b.Address)
		r.recordServerExit(&b)
		r.HandleEngineExit(b.Incarnation())
	}
}

// VerifyIncarnation requests a server's report to determine whether the known incarnation
// or the claimed one, which may be older, is current.
func (r *Relay) VerifyIncarnation(claim model.BackendServer) {
	b := r.Catalog.Load().ByID(claim.ID)
	if b == nil {
		return
	}
	klog.InfoS("backend server entry names another incarnation than the known one", "server", claim.Incarnation(), "believed", b.Incarnation(), "revision", claim.Revision)
	if _, err := r.fetchReport(b); err != nil {
		klog.InfoS("report request to verify the incarnation returned an error", "server", b.Incarnation(), "err", err)
	}
}

// maxHealthBytes bounds how much of the response to a health check is read, so that its
// connection can be reused. Only its status counts.
const maxHealthBytes = 64 << 10

// Healthy reports whether a backend server passes its health check. A server counts as
// healthy if its service has no health path, it asked for a pause, as the check takes a slot,
// or the check returns an error.
func (r *Relay) Healthy(ctx context.Context, b *model.BackendServer) (bool, error) {
	svc := r.Config.Load().Service(b.Service)
	if svc == nil || svc.HealthPath == "" || r.Pauses.Paused(b.Incarnation()) {
		return true, nil
	}
	resp, err := r.BackendClient.Do(ctx, b.Address, &Request{Method: http.MethodGet, Target: svc.HealthPath, Host: b.Address, Header: http.Header{}})
	if err != nil {
		return true, err
	}
	defer resp.Body.Close()
	r.observeRequests(b, platform.DecodeResponseInfo(resp.Status, resp.Header))
	if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBytes+1)); err != nil || n > maxHealthBytes {
		resp.Body.Discard()
	}
	return resp.Status == http.StatusOK, nil
}

// pathConflict is the refusal of a path. address is the engine that does not run its
// stage; empty if unknown.
type pathConflict struct{ address string }

func (c pathConflict) Error() string { return "path refused at engine " + c.address }

// Reroute orders the first engine of a running stream to route it over another path with
// the same first stage. It returns a pathConflict if an engine of the path does not run
// its stage.
func (r *Relay) Reroute(ctx context.Context, first *model.BackendServer, attempt string, path []platform.Stage) error {
	body, err := platform.EncodeRerouteOrder(attempt, path)
	if err != nil {
		return err
	}
	status, respBody, err := r.sendOrder(ctx, first, body)
	switch {
	case err != nil:
		return err
	case status == http.StatusOK || status == http.StatusAccepted:
		return nil
	case status == http.StatusConflict:
		return pathConflict{address: platform.DecodeRerouteConflict(respBody)}
	}
	return errors.Errorf("reroute order returned status %d", status)
}

// maxOrderResponseBytes bounds the size of the response to an order.
const maxOrderResponseBytes = 64 << 10

// sendOrder sends an order to an engine and returns the status and body of the response. An order whose response
// is incomplete may have been accepted or not.
func (r *Relay) sendOrder(ctx context.Context, b *model.BackendServer, body []byte) (status int, respBody []byte, err error) {
	resp, err := r.BackendClient.Do(ctx, b.Address, &Request{
		Method: http.MethodPost,
		Target: platform.OrderPath,
		Host:   b.Address,
		Header: platform.OrderHeaders(b.ID),
		Body:   model.Body{body},
	})
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	r.observeRequests(b, platform.DecodeResponseInfo(resp.Status, resp.Header))
	respBody, err = io.ReadAll(io.LimitReader(resp.Body, maxOrderResponseBytes+1))
	if err != nil || len(respBody) > maxOrderResponseBytes {
		resp.Body.Discard()
	}
	return resp.Status, respBody, err
}

// EngineClient sends orders to engines and requests their reports.
type EngineClient struct{ Relay *Relay }

var _ placement.EngineClient = EngineClient{}

// Report implements placement.EngineClient.
func (e EngineClient) Report(ctx context.Context, b *model.BackendServer) (model.EngineReport, error) {
	return e.Relay.Report(ctx, b)
}

// Place implements placement.EngineClient.
func (e EngineClient) Place(ctx context.Context, b *model.BackendServer, held model.LayerRange, fence, expected int64) (placement.OrderResult, error) {
	body, err := platform.EncodePlaceOrder(held, fence, expected)
	if err != nil {
		return placement.OrderUnknown, err
	}
	status, _, err := e.Relay.sendOrder(ctx, b, body)
	if errors.Is(err, ErrNotSent) {
		return placement.OrderNotSent, err
	}
	if err != nil {
		return placement.OrderUnknown, err
	}
	switch status {
	case http.StatusAccepted, http.StatusOK:
		return placement.OrderAccepted, nil
	case http.StatusPreconditionFailed:
		return placement.OrderFenced, nil
	case http.StatusMisdirectedRequest:
		return placement.OrderMisdirected, errors.New("another process responded at the engine's address")
	}
	return placement.OrderRefused, errors.Errorf("order returned status %d", status)
}
