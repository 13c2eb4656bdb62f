package daemon

import (
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
	"github.com/skylarkwood/skylarkwood/internal/model"
	external "github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/platform"
)

// routerSink applies the contents of the store to the router.
type routerSink Router

// HandleStoreRestore implements follow.Sink.
func (s *routerSink) HandleStoreRestore() {
	s.elector.HandleStoreRestore()
	s.controller.HandleStoreRestore()
}

// Reset implements follow.Sink.
//
// Backend servers and quarantine verdicts are applied before the configuration, because
// requests that wait for the first configuration are sent as soon as it is in force.
func (s *routerSink) Reset(page external.Page, grace time.Duration) {
	servers, malformed := s.decodeServers(page.Items)
	s.applyConflicts(s.catalog.Replace(servers, malformed, grace))
	s.persister.Observe(valueOf(page.Items, leader.QuarantineKey))
	leaderFound := false
	var members []external.Item
	for _, it := range page.Items {
		switch {
		case strings.HasPrefix(it.Key, platform.ServersPrefix), it.Key == leader.QuarantineKey:
		case strings.HasPrefix(it.Key, leader.MemberPrefix):
			members = append(members, it)
		default:
			leaderFound = leaderFound || it.Key == leader.Key
			s.Change(it, 0)
		}
	}
	if !leaderFound {
		s.elector.Observe(nil, page.Revision)
	}
	s.resetMembers(members, page.Revision)
	klog.InfoS("store contents read", "revision", page.Revision, "items", len(page.Items), "servers", len(servers), "namingNone", len(malformed))
}

// valueOf returns the value and the revision of a key, or zero values if items lack it.
func valueOf(items []external.Item, key string) (value []byte, revision model.Revision) {
	for _, it := range items {
		if it.Key == key {
			return it.Value, it.Revision
		}
	}
	return nil, 0
}

// decodeServers decodes the entries of backend servers. malformed holds the revisions of the
// malformed ones, by server id.
func (s *routerSink) decodeServers(items []external.Item) (servers []model.BackendServer, malformed map[string]model.Revision) {
	malformed = map[string]model.Revision{}
	for _, it := range items {
		if !strings.HasPrefix(it.Key, platform.ServersPrefix) {
			continue
		}
		b, err := platform.DecodeServer(it.Key, it.Value, it.Revision)
		if err != nil {
			id := platform.ServerID(it.Key)
			malformed[id] = it.Revision
			s.logMalformed(id, it.Revision, false, err)
			continue
		}
		servers = append(servers, b)
	}
	return servers, malformed
}

// logMalformed logs a malformed entry. An entry that replaced a valid one is always logged,
// others at most once per malformedLogInterval.
func (s *routerSink) logMalformed(id string, revision model.Revision, replaced bool, err error) {
	if s.malformed.shouldLog(id, time.Now()) || replaced {
		known := s.catalog.Load().ByID(id) != nil
		klog.InfoS("backend server entry malformed", "server", id, "known", known, "err", err, "revision", revision)
	}
}

// applyConflicts handles servers that exited and checks disputed incarnations.
func (s *routerSink) applyConflicts(conflicts catalog.Conflicts) {
	s.front.Relay.HandleExits(conflicts.Exited, "entry of a newer incarnation")
	for _, claim := range conflicts.Disputed {
		go s.front.Relay.VerifyIncarnation(claim)
	}
}

// Change implements follow.Sink.
func (s *routerSink) Change(it external.Item, grace time.Duration) {
	defer s.recoverPanic(it)
	switch {
	case it.Key == platform.ConfigKey:
		s.applyConfig(it)
	case strings.HasPrefix(it.Key, platform.ServersPrefix):
		s.applyServer(it, grace)
	case it.Key == leader.Key:
		s.elector.Observe(it.Value, it.Revision)
	case it.Key == leader.QuarantineKey && it.Removed:
		s.persister.Observe(nil, 0)
	case it.Key == leader.QuarantineKey:
		s.persister.Observe(it.Value, it.Revision)
	case strings.HasPrefix(it.Key, leader.MemberPrefix):
		s.applyMember(it)
	case strings.HasPrefix(it.Key, leader.PlanPrefix) && !it.Removed:
		s.controller.ObservePlan(strings.TrimPrefix(it.Key, leader.PlanPrefix), it.Value, it.Revision)
	}
}

// Synced implements follow.Sink.
func (s *routerSink) Synced(at time.Duration) { s.configs.confirmNewest(at) }

func (s *routerSink) applyConfig(it external.Item) {
	if it.Removed {
		klog.InfoS("configuration removed from the store; it stays in force", "revision", it.Revision)
		return
	}
	s.configs.add(it)
}

func (s *routerSink) applyServer(it external.Item, grace time.Duration) {
	id := platform.ServerID(it.Key)
	if it.Removed {
		klog.InfoS("backend server entry removed", "server", id, "revision", it.Revision, "grace", grace)
		s.catalog.Remove(id, it.Revision, grace)
		return
	}
	b, err := platform.DecodeServer(it.Key, it.Value, it.Revision)
	if err != nil {
		replaced := s.catalog.MarkMalformed(id, it.Revision)
		s.logMalformed(id, it.Revision, replaced, err)
		return
	}
	klog.InfoS("backend server entry changed", "server", b.Incarnation(), "address", b.Address, "failureDomain", b.FailureDomain, "draining", b.Draining,
		"card", b.Card, "holds", b.Holds.String(), "revision", it.Revision)
	s.applyConflicts(s.catalog.Put(b))
}

// resetMembers replaces the registered routers with those of the full range at a revision.
func (s *routerSink) resetMembers(members []external.Item, revision model.Revision) {
	s.roster.Reset(members)
	s.exchange.SetMembers(s.roster.Members())
	if _, registered := s.roster.Members()[s.memberKey()]; !registered {
		s.elector.ObserveRemoval(revision)
	}
}

func (s *routerSink) applyMember(it external.Item) {
	s.roster.Apply(it)
	s.exchange.SetMembers(s.roster.Members())
	if it.Removed && it.Key == s.memberKey() {
		s.elector.ObserveRemoval(it.Revision)
	}
}

// memberKey returns the key of this router's entry.
func (s *routerSink) memberKey() string { return leader.MemberPrefix + s.settings.Instance }
