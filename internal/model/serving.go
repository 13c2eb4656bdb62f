package model

import "time"

// RouteKind says what may be repeated of a route's requests.
type RouteKind string

// The kinds of route.
const (
	RouteIdempotent    RouteKind = "idempotent"
	RouteNotRepeatable RouteKind = "not_repeatable"
	RouteStreaming     RouteKind = "streaming"
)

// RouteConfig is one version of what the operator publishes. It is replaced as
// a whole and never changed in place.
type RouteConfig struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Limits    CallerLimits
	Customers []RouteCustomer
}

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout bounds how long a request may be kept waiting; 0 is no bound.
	Timeout time.Duration
	// TargetLatency is the time within which an answer (a stream's first event)
	// is worth most to its caller.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events that is still on time.
	TargetGap time.Duration
	Priority  int // 0 is the most urgent
	Split     []ServiceShare
	// MaxAttempts is to how many backend servers one request may be sent.
	MaxAttempts    int
	AllowAnonymous bool
	// ResumeStreams allows an interrupted stream to go on at another engine.
	ResumeStreams bool
}

// ServiceShare is one service's weight in a route's split.
type ServiceShare struct {
	Service string
	Weight  int
}

// Service is one group of backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine describes the model engines; nil for a plain service.
	Engine *EngineSpec
}

// EngineSpec is what the operator publishes of a service's model engines.
type EngineSpec struct {
	Slots int
	// Layers and LayerMB give the model: layers in all, megabytes of one.
	Layers  int
	LayerMB float64
	// KVTokenBytes is the memory of one token over all layers, in bytes.
	KVTokenBytes float64
	// StepTime is one token step over all layers, for a card of pace 1.
	StepTime time.Duration
	// StepTimePerRequest is added to a step for each request that is writing.
	StepTimePerRequest time.Duration
	// StepsPerPass is how many steps a pass runs.
	StepsPerPass int
	// PrefillRate is prompt tokens read a second over all layers, for a card of
	// read factor 1.
	PrefillRate float64
	// PrefillChunk is how many prompt tokens a pass reads at most; 0 for any number.
	PrefillChunk int
	// MeanPromptTokens and MeanAnswerTokens are mean token counts.
	MeanPromptTokens, MeanAnswerTokens int
	// LoadTime is the time to load all layers, alone.
	LoadTime time.Duration
	// ConcurrentLoads is how many loads run without slowing each other down.
	ConcurrentLoads int
	// ActivationBytes pass between two engines for each token.
	ActivationBytes float64
	// InterconnectMbps is the shared rate between two failure domains, in Mbit/s.
	InterconnectMbps float64
	Cards            []Card
}

// Card is one type of accelerator.
type Card struct {
	Name string
	// MB is its memory in megabytes.
	MB float64
	// StepTimeFactor and PrefillFactor multiply the times of steps and of prompt reading.
	StepTimeFactor, PrefillFactor float64
}

// Card finds a type of accelerator by its name.
func (s *EngineSpec) Card(name string) (Card, bool) {
	for _, c := range s.Cards {
		if c.Name == name {
			return c, true
		}
	}
	return Card{}, false
}

// KVTokenMB is the memory of one token over all layers, in megabytes.
func (s *EngineSpec) KVTokenMB() float64 { return s.KVTokenBytes / 1e6 }

// LayerTokenMB is the memory of one token in one layer, in megabytes.
func (s *EngineSpec) LayerTokenMB() float64 {
	if s.Layers == 0 {
		return 0
	}
	return s.KVTokenBytes / float64(s.Layers) / 1e6
}

// CallerLimits bound what callers may send; zero means no bound.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteCustomer is a customer as the operator's configuration knows it.
type RouteCustomer struct {
	Name    string
	APIKeys []string
	// Priority goes before the route's; nil where none is set.
	Priority *int
}

// BackendServer is one backend server as it registered itself.
type BackendServer struct {
	// ID is the server's name in the store. It may start again under it; see
	// Incarnation.
	ID string
	// Born is when it started, in Unix milliseconds by its own clock; 0 where it
	// does not tell.
	Born          int64
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// Card names the accelerator; empty for a plain service.
	Card string
	// Holds are the layers loaded; empty where none are.
	Holds LayerRange
	// HeartbeatCount counts the heartbeats that it had written by then, since its start.
	HeartbeatCount int64 `json:"Beats"`
	// Revision is the store's revision of the entry.
	Revision Revision
}

// Incarnation tells which start of the server this is.
func (b *BackendServer) Incarnation() Incarnation { return Incarnation{ID: b.ID, Born: b.Born} }

// EngineReport is an engine's own report, some hundred milliseconds old.
type EngineReport struct {
	// Born is when the engine started, as in BackendServer.
	Born  int64
	Holds LayerRange
	// Busy says that an order is in progress.
	Busy bool
	// OrderCount is how many orders it has begun since its start.
	OrderCount int64
	// Active and Queued count the requests that it received as the first
	// engine of a chain.
	Active, Queued int
	// Slowdown is 1 for a healthy engine, more for a slow one.
	Slowdown float64
	// UsedTokenLayers and TotalTokenLayers count token memory.
	UsedTokenLayers, TotalTokenLayers float64
	Stalled                           []Stall
}

// Stall names an attempt whose chain waits for the engine at Address.
type Stall struct{ Attempt, Address string }

// Call is one caller's request on its way to a backend server.
type Call struct {
	Attempt string // unique to this attempt of the caller
	Method  string
	Host    string
	Target  string // path and query as received
	Path    string
	Header  []HeaderField
	Body    []byte
	APIKey  string
	// Deadline is when the caller stops waiting; zero if it did not say.
	Deadline time.Time
	// ResumeAfter is the last event that the caller has; empty for none.
	ResumeAfter string
	// PromptTokens and MaxAnswerTokens are the request's size in tokens.
	PromptTokens, MaxAnswerTokens int
	// AnswerTokensHint is the caller's guess of the answer's tokens; 0 for none.
	AnswerTokensHint int
	// Session is the last shared part of the prompt; empty for none.
	Session string
}

// HeaderField is one header line.
type HeaderField struct{ Name, Value string }
