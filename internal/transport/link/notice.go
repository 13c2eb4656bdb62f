package link

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// A Notification is a notification in a binary format. It is encoded once and can be sent
// to any number of peers.
type Notification struct{ framed []byte }

// NotificationHandler handles the body of a notification. It runs in the order of arrival
// on the connection's reader and must not block or retain the body.
type NotificationHandler func(from string, body []byte) error

// NewNotification encodes a notification for Send.
func (p *Pool) NewNotification(m wire.Method, body []byte) Notification {
	head := wire.NotificationHeader{
		Clock:    p.metadata.Clock.Now(),
		Revision: p.metadata.Revision(),
		From:     p.metadata.Self,
		Method:   m,
	}
	return Notification{framed: frameNotification(head.Pack(body))}
}

// Timestamp returns a timestamp of the clock that the messages carry.
func (p *Pool) Timestamp() hlc.Timestamp { return p.metadata.Clock.Now() }

// Observe makes later timestamps of the clock later than t.
func (p *Pool) Observe(t hlc.Timestamp) { p.metadata.Clock.Observe(t) }

// Send sends a notification to a peer. Success means only that the kernel accepted it.
func (p *Pool) Send(ctx context.Context, addr string, n Notification) error {
	c, err := p.get(ctx, addr)
	if err != nil {
		return err
	}
	if err := c.frames.write(n.framed); err != nil {
		c.failed.Store(true)
		return fault.New(fault.Unreachable, "notification to %s: %v", addr, err)
	}
	return nil
}

// RegisterNotification sets the handler of a method whose messages are binary
// notifications.
func (s *Server) RegisterNotification(m wire.Method, h NotificationHandler) { s.notifications[m] = h }

// handleNotification handles a notification from a host.
func (s *Server) handleNotification(raw []byte, fromHost string) {
	head, body, err := wire.UnpackNotification(raw)
	if err == nil {
		err = CheckSender(head.From)
	}
	if err == nil {
		err = s.verifySender(head.From, fromHost, head.Method)
	}
	if err != nil {
		klog.InfoS("notification rejected", "host", fromHost, "err", err)
		return
	}
	s.metadata.Clock.Observe(head.Clock)
	s.metadata.ObservePeerRevision(head.From, head.Revision)
	h, ok := s.notifications[head.Method]
	if !ok {
		klog.InfoS("notification rejected", "peer", head.From, "err", fault.New(fault.NotFound, "no method %q", head.Method))
		return
	}
	defer recoverNotification(head.Method, head.From)
	if err := h(head.From, body); err != nil {
		klog.InfoS("notification rejected", "peer", head.From, "method", head.Method, "err", err)
	}
}
