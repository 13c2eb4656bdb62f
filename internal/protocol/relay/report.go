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

// askReport reads an engine's own report.
func (r *Relay) askReport(b *model.BackendServer) (model.EngineReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reportWait)
	defer cancel()
	return r.Report(ctx, b)
}

// maxReport bounds a report, in bytes. Reports have some hundred; the longest name each
// of an engine's streams that wait.
const maxReport = 1 << 20

var errLongReport = errors.New("the report is too long")

// Report reads an engine's own report.
func (r *Relay) Report(ctx context.Context, b *model.BackendServer) (model.EngineReport, error) {
	asked := r.Now()
	ans, err := r.BackendClient.Do(ctx, b.Address, &Request{Method: http.MethodGet, Target: platform.ReportPath, Host: b.Address, Header: http.Header{}})
	if err != nil {
		return model.EngineReport{}, err
	}
	defer ans.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(ans.Body, maxReport+1))
	if err != nil {
		return model.EngineReport{}, err
	}
	if len(raw) > maxReport {
		ans.Body.Discard()
		return model.EngineReport{}, errLongReport
	}
	if ans.Status != http.StatusOK {
		return model.EngineReport{}, errors.Errorf("report: status %d", ans.Status)
	}
	report, err := platform.DecodeReport(raw)
	if err != nil {
		return model.EngineReport{}, err
	}
	if err := r.sameIncarnation(b, report); err != nil {
		return report, err
	}
	// A report that does not tell its start, as its entry does, may be of another one.
	if report.Born == b.Born {
		r.Suspects.Responded(b.Incarnation(), asked)
	}
	return report, nil
}

// errRestarted says that another incarnation of an engine answered.
var errRestarted = errors.New("the engine has started again")

// sameIncarnation checks that a report is of the incarnation that was asked. One
// that started again is known by its report before its entry tells; nothing that
// is planned or believed of the one before holds for it.
func (r *Relay) sameIncarnation(b *model.BackendServer, report model.EngineReport) error {
	if b.Born == 0 || report.Born == 0 || report.Born == b.Born {
		return nil
	}
	news := r.Catalog.ResolveIncarnation(b.Incarnation(), report.Born, report.Holds)
	klog.InfoS("engine's report is of another start", "server", b.Incarnation(), "address", b.Address, "born", report.Born, "news", len(news.Exited) > 0)
	r.HandleExits(news.Exited, "its report")
	return errors.Wrapf(errRestarted, "at %d ms instead of %d", report.Born, b.Born)
}

// HandleExits takes in that incarnations of engines have surely ended, as others have
// their place.
func (r *Relay) HandleExits(gone []model.BackendServer, evidence string) {
	for _, b := range gone {
		klog.InfoS("backend server's process ended", "server", b.Incarnation(), "address", b.Address, "evidence", evidence)
		r.BackendClient.CloseIdle(b.Address)
		r.endedUnder(&b)
		r.HandleEngineExit(b.Incarnation())
	}
}

// VerifyIncarnation asks a server which of two incarnations it is: the one that is believed
// in, or another one that an entry names and that may be older.
func (r *Relay) VerifyIncarnation(claim model.BackendServer) {
	b := r.Catalog.Load().ByID(claim.ID)
	if b == nil {
		return
	}
	klog.InfoS("backend server's entry is disputed", "server", claim.Incarnation(), "believed", b.Incarnation(), "revision", claim.Revision)
	if _, err := r.askReport(b); err != nil {
		klog.InfoS("disputed entry: the server's word", "server", b.Incarnation(), "err", err)
	}
}

// Healthy asks a backend server whether it is well and not leaving. Where the
// operator gave no way to ask it counts as well.
func (r *Relay) Healthy(ctx context.Context, b *model.BackendServer) (bool, error) {
	svc := r.Config.Load().Service(b.Service)
	if svc == nil || svc.HealthPath == "" {
		return true, nil
	}
	ans, err := r.BackendClient.Do(ctx, b.Address, &Request{Method: http.MethodGet, Target: svc.HealthPath, Host: b.Address, Header: http.Header{}})
	if err != nil {
		return true, err
	}
	defer ans.Body.Close()
	if _, err := io.Copy(io.Discard, ans.Body); err != nil {
		ans.Body.Discard()
	}
	return ans.Status == http.StatusOK, nil
}

// conflict is the refusal of a path; address names the engine that does not take its
// part, if it is known.
type conflict struct{ address string }

func (c conflict) Error() string { return "path refused for " + c.address }

// Reroute orders the first engine of a running stream to send it over another
// path with the same first part. The error is a conflict where an engine of the path
// does not take its part.
func (r *Relay) Reroute(ctx context.Context, first *model.BackendServer, attempt string, path []platform.Stage) error {
	body, err := platform.EncodeRerouteOrder(attempt, path)
	if err != nil {
		return err
	}
	status, answer, err := r.order(ctx, first, body)
	switch {
	case err != nil:
		return err
	case status == http.StatusOK || status == http.StatusAccepted:
		return nil
	case status == http.StatusConflict:
		return conflict{address: platform.DecodeRerouteConflict(answer)}
	}
	return errors.Errorf("repath answered with status %d", status)
}

// maxOrderAnswer bounds the answer to an order, in bytes.
const maxOrderAnswer = 64 << 10

// order sends an order to an engine and gives the status and body of its answer.
func (r *Relay) order(ctx context.Context, b *model.BackendServer, body []byte) (status int, answer []byte, err error) {
	ans, err := r.BackendClient.Do(ctx, b.Address, &Request{
		Method: http.MethodPost,
		Target: platform.OrderPath,
		Host:   b.Address,
		Header: platform.OrderHeaders(b.ID),
		Body:   body,
	})
	if err != nil {
		return 0, nil, err
	}
	defer ans.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(ans.Body, maxOrderAnswer+1))
	if err != nil || len(answer) > maxOrderAnswer {
		ans.Body.Discard()
	}
	return ans.Status, answer, nil
}

// EngineClient gives orders to engines and reads their reports.
type EngineClient struct{ Relay *Relay }

var _ placement.EngineClient = EngineClient{}

// Report implements placement.Engines.
func (e EngineClient) Report(ctx context.Context, b *model.BackendServer) (model.EngineReport, error) {
	return e.Relay.Report(ctx, b)
}

// Place implements placement.Engines.
func (e EngineClient) Place(ctx context.Context, b *model.BackendServer, held model.LayerRange, fence, expected int64) (placement.OrderResult, error) {
	body, err := platform.EncodePlaceOrder(held, fence, expected)
	if err != nil {
		return placement.OrderUnknown, err
	}
	status, _, err := e.Relay.order(ctx, b, body)
	if errors.Is(err, ErrNotSent) {
		return placement.OrderRefused, err
	}
	if err != nil {
		return placement.OrderUnknown, err
	}
	switch status {
	case http.StatusAccepted, http.StatusOK:
		return placement.OrderAccepted, nil
	case http.StatusPreconditionFailed:
		return placement.OrderFenced, nil
	}
	return placement.OrderRefused, errors.Errorf("order answered with status %d", status)
}
