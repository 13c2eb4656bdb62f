package model

import "time"

// RouteKind determines which requests of a route may be retried.
type RouteKind string

// The kinds of routes.
const (
	RouteIdempotent    RouteKind = "idempotent"
	RouteNotRepeatable RouteKind = "not_repeatable"
	RouteStreaming     RouteKind = "streaming"
)

// RouteConfig is one version of the operator's configuration. It is immutable.
type RouteConfig struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Limits    CallerLimits
	Customers []RouteCustomer
}

// Route configures how the requests of a host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the maximum time that a request may wait for its answer; 0 means no
	// limit.
	Timeout time.Duration
	// TargetLatency is the target time until the answer, or until a stream's first
	// event.
	TargetLatency time.Duration
	// TargetGap is the target for the longest pause between events.
	TargetGap time.Duration
	Priority  int // 0 is the most urgent
	Split     []ServiceShare
	// MaxAttempts is the maximum number of backend servers to which one request is sent.
	MaxAttempts    int
	AllowAnonymous bool
	// ResumeStreams allows an interrupted stream to continue at another engine.
	ResumeStreams bool
}

// ServiceShare is one service's weight in a route's split.
type ServiceShare struct {
	Service string
	Weight  int
}

// Service is a group of backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine describes the engines; nil for a plain service.
	Engine *EngineSpec
}

// EngineSpec is the operator's description of a service's engines.
type EngineSpec struct {
	Slots int
	// Layers is the number of layers of the model. LayerMB is the size of one in
	// megabytes.
	Layers  int
	LayerMB float64
	// KVTokenBytes is the KV-cache size of one token over all layers, in bytes.
	KVTokenBytes float64
	// StepTime is the time of one token step over all layers on an accelerator with
	// StepTimeFactor 1.
	StepTime time.Duration
	// StepTimePerRequest is added to the time of a step for each request that is
	// generating tokens.
	StepTimePerRequest time.Duration
	// StepsPerPass is the number of steps in one pass.
	StepsPerPass int
	// PrefillRate is the number of prompt tokens per second over all layers on an
	// accelerator with PrefillFactor 1.
	PrefillRate float64
	// PrefillChunk is the maximum number of prompt tokens in one pass; 0 means no limit.
	PrefillChunk int
	// MeanPromptTokens and MeanAnswerTokens are the expected sizes of a request and its
	// answer.
	MeanPromptTokens, MeanAnswerTokens int
	// LoadTime is the time to load all layers with no other load in progress.
	LoadTime time.Duration
	// ConcurrentLoads is the number of loads that can run at the same time without
	// slowing each other down.
	ConcurrentLoads int
	// ActivationBytes is the amount of data sent between two engines for each token.
	ActivationBytes float64
	// InterconnectMbps is the shared capacity between two failure domains in Mbit/s.
	InterconnectMbps float64
	Cards            []Card
}

// Card is a type of accelerator.
type Card struct {
	Name string
	// MB is the memory in megabytes.
	MB float64
	// StepTimeFactor and PrefillFactor multiply the times of steps and of prefill.
	StepTimeFactor, PrefillFactor float64
}

// Card returns the type of accelerator with a name.
func (s *EngineSpec) Card(name string) (Card, bool) {
	for _, c := range s.Cards {
		if c.Name == name {
			return c, true
		}
	}
	return Card{}, false
}

// KVTokenMB returns the KV-cache size of one token over all layers, in megabytes.
func (s *EngineSpec) KVTokenMB() float64 { return s.KVTokenBytes / 1e6 }

// LayerTokenMB returns the KV-cache size of one token in one layer, in megabytes.
func (s *EngineSpec) LayerTokenMB() float64 {
	if s.Layers == 0 {
		return 0
	}
	return s.KVTokenBytes / float64(s.Layers) / 1e6
}

// CallerLimits are limits on callers' requests; zero means no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteCustomer is a customer in the operator's configuration.
type RouteCustomer struct {
	Name    string
	APIKeys []string
	// Priority overrides the route's priority; nil if it is not set.
	Priority *int
}

// BackendServer is a backend server as registered in the store.
type BackendServer struct {
	// ID is the server's id in the store. It may be reused after a restart; see
	// Incarnation.
	ID string
	// Born is the start time by the server's own clock in Unix milliseconds, or 0 if it
	// is not reported.
	Born          int64
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// Card is the type of accelerator; empty for a plain service.
	Card string
	// Holds is the range of loaded layers; empty if none are loaded.
	Holds LayerRange
	// HeartbeatCount is the number of heartbeats that the server had written since its
	// start.
	HeartbeatCount int64 `json:"Beats"`
	// Revision is the store's revision of the entry.
	Revision Revision
}

func (b *BackendServer) Incarnation() Incarnation { return Incarnation{ID: b.ID, Born: b.Born} }

// EngineReport is an engine's report of its own state. It may be some hundred
// milliseconds old.
type EngineReport struct {
	// Born is the engine's start time as in BackendServer.
	Born int64
	// Holds is the range of loaded layers as in BackendServer.
	Holds LayerRange
	// Busy is set while an order is in progress.
	Busy bool
	// OrderCount is the number of orders begun since the start.
	OrderCount int64
	// Active and Queued are the numbers of requests that the engine serves as the first
	// stage of a chain.
	Active, Queued int
	// Slowdown is 1 for an engine at its expected speed and greater for a slower one.
	Slowdown float64
	// UsedTokenLayers and TotalTokenLayers measure KV-cache memory in tokens times
	// layers.
	UsedTokenLayers, TotalTokenLayers float64
	Stalled                           []Stall
}

// Stall identifies an attempt whose chain is waiting for the engine at Address.
type Stall struct{ Attempt, Address string }

// Call is a caller's request to be sent to a backend server.
type Call struct {
	// Received is when the request arrived; zero if it is not known. Timeouts count from it.
	Received time.Time
	Attempt  string // id of this attempt, unique for each retry
	Method   string
	Host     string
	Target   string // path and query as received
	Path     string
	Header   []HeaderField
	Body     Body
	APIKey   string
	// Deadline is when the caller stops waiting; zero if it is not known.
	Deadline time.Time
	// ResumeAfter is the id of the last event that the caller received; empty for none.
	ResumeAfter string
	// PromptTokens and MaxAnswerTokens are the sizes of the prompt and the longest
	// answer in tokens.
	PromptTokens, MaxAnswerTokens int
	// AnswerTokensHint is the caller's estimate of the answer's size in tokens; 0 for
	// none.
	AnswerTokensHint int
	// Session identifies the last shared part of the prompt; empty for none.
	Session string
	// PromptParts holds the ids of the parts of the prompt before the last one, in order and
	// each once, at most MaxPromptParts. Other requests may share them.
	PromptParts []string
}

// MaxPromptParts bounds the parts of a prompt that are told apart.
const MaxPromptParts = 32

// HeaderField is one header line.
type HeaderField struct{ Name, Value string }
