package link

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// A Notification is a notification in a packed form. It is made once and sent to any
// number of peers: encoding a message for each of two dozen peers four times a
// second, and reading theirs as JSON, took more of a small router's processor
// than its callers' streams.
type Notification struct{ framed []byte }

// NotificationHandler takes in a notice's body. It runs in the order of arrival on the
// connection's reader, must not block and must not keep the body.
type NotificationHandler func(from string, body []byte) error

// NewNotification packs a message for Send.
func (p *Pool) NewNotification(m wire.Method, body []byte) Notification {
	head := wire.NotificationHeader{
		Clock:    p.stamp.Clock.Now(),
		Revision: p.stamp.Revision(),
		From:     p.stamp.Self,
		Method:   m,
	}
	return Notification{framed: frameNotice(head.Pack(body))}
}

// Send sends a notice to a peer. Success means only that it was handed to the
// kernel.
func (p *Pool) Send(ctx context.Context, addr string, n Notification) error {
	c, err := p.get(ctx, addr)
	if err != nil {
		return err
	}
	if err := c.frames.write(n.framed); err != nil {
		c.failed.Store(true)
		return fault.New(fault.Unreachable, "notice to %s: %v", addr, err)
	}
	return nil
}

// RegisterNotification sets the handler of a method whose messages are notices.
func (s *Server) RegisterNotification(m wire.Method, h NotificationHandler) { s.notices[m] = h }

// noticed takes in a notice that came from a host.
func (s *Server) noticed(raw []byte, fromHost string) {
	head, body, err := wire.UnpackNotification(raw)
	if err == nil {
		err = s.admit(head.From, fromHost, head.Method)
	}
	if err != nil {
		klog.InfoS("notice not taken in", "host", fromHost, "err", err)
		return
	}
	s.stamp.Clock.Observe(head.Clock)
	s.stamp.ObservePeerRevision(head.From, head.Revision)
	h, ok := s.notices[head.Method]
	if !ok {
		klog.InfoS("notice not taken in", "peer", head.From, "err", fault.New(fault.NotFound, "no method %q", head.Method))
		return
	}
	defer containNotice(head.Method, head.From)
	if err := h(head.From, body); err != nil {
		klog.InfoS("notice not taken in", "peer", head.From, "method", head.Method, "err", err)
	}
}
