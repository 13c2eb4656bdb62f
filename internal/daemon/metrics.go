package daemon

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/settings"
	"github.com/skylarkwood/skylarkwood/internal/transport/front"
)

// metrics holds the metrics of a process and serves them to collectors.
type metrics struct {
	scope    tally.Scope
	reporter promreporter.Reporter
}

const reportInterval = time.Second

// latencyBuckets range from 5 ms, the latency of an idle plain service, to 20 s, the longest
// deadline of callers.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

func newMetrics(s settings.Settings) *metrics {
	// Dev mode runs several processes in one, so each has its own registry.
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: prometheus.NewRegistry()})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "skylarkwood",
		Tags:                   map[string]string{"instance": s.Instance, "role": string(s.Role)},
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &metrics{scope: scope, reporter: reporter}
}

// recordOutcome counts a finished request and records its duration.
func (m *metrics) recordOutcome(service string, o model.Outcome, elapsed time.Duration) {
	tagged := m.scope.Tagged(map[string]string{"service": service, "outcome": string(o.State), "kind": o.Kind})
	tagged.Counter("requests").Inc(1)
	tagged.Timer("request_time").Record(elapsed)
}

// setLinkBytes sets the number of bytes sent and received over links.
func (m *metrics) setLinkBytes(total int64) {
	m.scope.Gauge("link_bytes").Update(float64(total))
}

// setGate sets the load of a sidecar's gate.
func (m *metrics) setGate(l wire.Load) {
	m.scope.Gauge("gate_active").Update(float64(l.Active))
	m.scope.Gauge("gate_queued").Update(float64(l.Queued))
	m.scope.Gauge("gate_places").Update(float64(l.Capacity))
}

// setRouter sets the numbers of requests in progress, of waiting requests and of connections
// opened to backend servers, and the version of the configuration in force.
func (m *metrics) setRouter(active int64, waiting int, opened, version int64) {
	m.scope.Gauge("requests_active").Update(float64(active))
	m.scope.Gauge("requests_waiting").Update(float64(waiting))
	m.scope.Gauge("backend_connections_opened").Update(float64(opened))
	m.scope.Gauge("config_version").Update(float64(version))
}

// setProcessor sets the processor time that the process has used and has waited for since its start,
// and the longest delay of a network event since the last call.
func (m *metrics) setProcessor(waited, used, longest time.Duration) {
	m.scope.Gauge("processor_waited_seconds").Update(waited.Seconds())
	m.scope.Gauge("processor_used_seconds").Update(used.Seconds())
	m.scope.Gauge("processor_longest_delay_seconds").Update(longest.Seconds())
}

// setClients sets what clients hold, and what was refused and has yielded since the start.
func (m *metrics) setClients(u clientbudget.Usage) {
	m.scope.Gauge("clients_bytes").Update(float64(u.Bytes))
	m.scope.Gauge("clients_refused").Update(float64(u.Refusals))
	m.scope.Gauge("clients_yielded").Update(float64(u.Yielded))
	for l, n := range u.Connections {
		m.scope.Tagged(map[string]string{"listener": string(l)}).Gauge("clients_connections").Update(float64(n))
	}
}

func (m *metrics) handler() http.Handler { return m.reporter.HTTPHandler() }

// Request implements relay.Observer.
func (m *metrics) Request(route, service, outcome, kind string, elapsed time.Duration) {
	tagged := m.scope.Tagged(map[string]string{"route": route, "service": service, "outcome": outcome, "kind": kind})
	tagged.Counter("requests").Inc(1)
	m.scope.Tagged(map[string]string{"service": service, "outcome": outcome}).Histogram("request_seconds", latencyBuckets).RecordDuration(elapsed)
}

// FirstEvent implements relay.Observer.
func (m *metrics) FirstEvent(service string, elapsed time.Duration) {
	m.scope.Tagged(map[string]string{"service": service}).Histogram("first_event_seconds", latencyBuckets).RecordDuration(elapsed)
}

// Retry implements relay.Observer.
func (m *metrics) Retry(service, reason string) {
	m.scope.Tagged(map[string]string{"service": service, "reason": reason}).Counter("repeated_sends").Inc(1)
}

// Refusal implements relay.Observer.
func (m *metrics) Refusal(service string, pauseRequested bool) {
	m.scope.Tagged(map[string]string{"service": service, "pause": strconv.FormatBool(pauseRequested)}).Counter("backend_refusals").Inc(1)
}

// CapacityRefused implements relay.Observer.
func (m *metrics) CapacityRefused(service, reason string, urgency int) {
	m.scope.Tagged(map[string]string{"service": service, "reason": reason, "priority": strconv.Itoa(urgency)}).Counter("refused").Inc(1)
}

// ForecastError implements relay.Observer.
func (m *metrics) ForecastError(service string, late time.Duration) {
	m.scope.Tagged(map[string]string{"service": service, "late": strconv.FormatBool(late > 0)}).Histogram("forecast_error_seconds", latencyBuckets).RecordDuration(late.Abs())
}

// ConnectionEnded implements front.Observer.
func (m *metrics) ConnectionEnded(reason front.EndReason, duringRequest bool) {
	m.scope.Tagged(map[string]string{"why": string(reason), "under_request": strconv.FormatBool(duringRequest)}).Counter("caller_connections_ended").Inc(1)
}

// CallerLeft implements front.Observer.
func (m *metrics) CallerLeft(found caller.Point) {
	m.scope.Tagged(map[string]string{"found": string(found)}).Counter("callers_left").Inc(1)
}

// countStoreCall counts a call to the store.
func (m *metrics) countStoreCall(kind string) {
	m.scope.Tagged(map[string]string{"kind": kind}).Counter("store_calls").Inc(1)
}

// setStoreContact sets whether this router watches the store itself, and the time since the
// last contact with the store of this router or the router that it polls.
func (m *metrics) setStoreContact(watching bool, age time.Duration) {
	value := 0.0
	if watching {
		value = 1
	}
	m.scope.Gauge("store_watching").Update(value)
	m.scope.Gauge("store_news_age_seconds").Update(age.Seconds())
}

// setLimits records the rate limits that backend servers advertise: how many do, and how many
// requests per second they accept together.
func (m *metrics) setLimits(rates map[model.Incarnation]float64) {
	sum := 0.0
	for _, rate := range rates {
		sum += rate
	}
	m.scope.Gauge("backend_servers_rate_limited").Update(float64(len(rates)))
	m.scope.Gauge("backend_rate_limits_sum").Update(sum)
}

// setMissingLayers sets the number of layers that no engine of a failure domain holds and serves
// to new streams.
func (m *metrics) setMissingLayers(service, domain string, layers int) {
	m.scope.Tagged(map[string]string{"service": service, "domain": domain}).Gauge("domain_layers_missing").Update(float64(layers))
}

// setPauses records how many backend servers asked this router for a pause that lasts.
func (m *metrics) setPauses(n int) {
	m.scope.Gauge("backend_servers_paused").Update(float64(n))
}

// interconnectRow identifies the demand for an interconnect at a priority.
type interconnectRow struct {
	pair     chains.DomainPair
	priority int
}

// setInterconnect records the use of interconnects by this router's streams, its share and
// its unmet demand, by domain pair and priority. reported contains the rows of the last call and
// is updated. A row that shares no longer contain is set to 0 once.
func (m *metrics) setInterconnect(reported map[interconnectRow]bool, shares []chains.PairShare) {
	for row := range reported {
		reported[row] = false
	}
	for _, s := range shares {
		row := interconnectRow{s.DomainPair, s.Priority}
		reported[row] = true
		m.setInterconnectRow(row, s.Used, s.Share, s.Unmet)
	}
	for row, current := range reported {
		if !current {
			m.setInterconnectRow(row, 0, 0, 0)
			delete(reported, row)
		}
	}
}

func (m *metrics) setInterconnectRow(row interconnectRow, used, share, unmet float64) {
	tagged := m.scope.Tagged(map[string]string{"domain_pair": row.pair.A + "|" + row.pair.B, "priority": strconv.Itoa(row.priority)})
	tagged.Gauge("interconnect_used_mbps").Update(used)
	tagged.Gauge("interconnect_share_mbps").Update(share)
	tagged.Gauge("interconnect_unmet_mbps").Update(unmet)
}

// setIntake sets whether new connections are limited.
func (m *metrics) setIntake(limited bool) {
	value := 0.0
	if limited {
		value = 1
	}
	m.scope.Gauge("connections_limited").Update(value)
}

// setQuarantine sets the numbers of suspected requests, of suspected traits and of verdicts.
func (m *metrics) setQuarantine(suspects, traits, quarantined int) {
	m.scope.Gauge("requests_suspected").Update(float64(suspects))
	m.scope.Gauge("traits_suspected").Update(float64(traits))
	m.scope.Gauge("requests_quarantined").Update(float64(quarantined))
}

// countPanic counts a panic that ended a request, a run or the decoding of an entry.
func (m *metrics) countPanic(location string) {
	m.scope.Tagged(map[string]string{"where": location}).Counter("panics").Inc(1)
}
